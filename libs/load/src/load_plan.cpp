#include <trefoil/load/load_plan.hpp>

#include <charconv>
#include <fstream>
#include <iterator>
#include <optional>
#include <sstream>

#include <fmt/format.h>

#include <trefoil/table/csv.hpp>

namespace trefoil {
namespace {

using words = std::vector<std::string>;

words split_words(std::string_view line) {
    std::istringstream in{std::string(line.substr(0, line.find('#')))};
    return {std::istream_iterator<std::string>(in), {}};
}

std::optional<double> number(const std::string& text) {
    double value = 0;
    const auto* end = text.data() + text.size();
    const auto [at, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc{} || at != end || !(value >= 0)) {
        return std::nullopt;
    }
    return value;
}

duration seconds(double value) {
    return duration(static_cast<duration::rep>(value * 1e6));
}

// Parses the statements of a plan one at a time and collects their errors.
class plan_parser {
public:
    void read(std::size_t line, const words& statement) {
        line_ = line;
        const auto& keyword = statement.front();
        if (keyword == "entry" && has(statement, 3, 3)) {
            add_address(plan_.entries, statement);
        } else if (keyword == "target" && has(statement, 3, 3)) {
            add_address(plan_.targets, statement);
        } else if (keyword == "admin" && has(statement, 2, 2)) {
            if (const auto where = address(statement[1])) {
                plan_.admins.push_back(*where);
            }
        } else if (keyword == "kind" && has(statement, 7, 8)) {
            add_kind(statement);
        } else if (keyword == "phase" && has(statement, 4, 5)) {
            add_phase(statement);
        } else if (keyword == "call" && has(statement, 5, 6)) {
            add_call(statement);
        } else {
            add_error("unknown statement of a plan, or wrong number of words");
        }
    }

    std::variant<load_plan, plan_errors> result() {
        if (!errors_.empty()) {
            return errors_;
        }
        return plan_;
    }

private:
    static bool has(const words& statement, std::size_t lowest, std::size_t highest) {
        return statement.size() >= lowest && statement.size() <= highest;
    }

    void add_error(std::string problem) { errors_.push_back({line_, std::move(problem)}); }

    std::optional<endpoint> address(const std::string& text) {
        auto where = parse_endpoint(text);
        if (!where.ok()) {
            add_error(std::string(where.status().message()));
            return std::nullopt;
        }
        return *std::move(where);
    }

    void add_address(std::vector<std::pair<service_name, endpoint>>& list, const words& w) {
        if (const auto where = address(w[2])) {
            list.emplace_back(service_name(w[1]), *where);
        }
    }

    void add_kind(const words& w) {
        const auto rate = number(w[2]);
        const auto deadline_ms = number(w[6]);
        const bool keyed = w.size() == 8;
        if (!rate || !deadline_ms || (keyed && w[7] != "keyed")) {
            add_error("kind NAME RATE METHOD SERVICE PATH DEADLINE_MS [keyed]");
            return;
        }
        plan_.kinds.push_back(
            {w[1], *rate, w[3], service_name(w[4]), w[5], seconds(*deadline_ms / 1000), keyed});
    }

    void add_phase(const words& w) {
        const auto length = number(w[2]);
        const auto factor = number(w[3]);
        const auto capacity = w.size() == 5 ? number(w[4]) : 0.0;
        if (!length || !factor || !capacity) {
            add_error("phase NAME SECONDS FACTOR [CAPACITY]");
            return;
        }
        plan_.phases.push_back({w[1], seconds(*length), *factor, *capacity});
    }

    void add_call(const words& w) {
        const auto where = address(w[3]);
        std::string body;
        if (w.size() == 6) {
            std::ifstream in(w[5], std::ios::binary);
            if (!in) {
                add_error(fmt::format("the file {} can't be read", w[5]));
                return;
            }
            body.assign(std::istreambuf_iterator<char>(in), {});
        }
        if (where) {
            plan_.calls.push_back({w[1], w[2], *where, w[4], std::move(body)});
        }
    }

    std::size_t line_ = 0;
    load_plan plan_;
    plan_errors errors_;
};

} // namespace

std::variant<load_plan, plan_errors> parse_load_plan(std::string_view text) {
    plan_parser reader;
    const auto lines = split_lines(text);
    for (std::size_t i = 0; i < lines.size(); ++i) {
        const auto statement = split_words(lines[i]);
        if (!statement.empty()) {
            reader.read(i + 1, statement);
        }
    }
    return reader.result();
}

} // namespace trefoil
