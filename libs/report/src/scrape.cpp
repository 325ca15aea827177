#include <trefoil/report/scrape.hpp>

#include <cstdlib>
#include <sstream>

#include <trefoil/table/csv.hpp>

namespace trefoil {
namespace {

/// One sample in the Prometheus text format: `name{label="value",...} number`.
struct sample {
    std::string_view name;
    std::map<std::string, std::string> labels;
    double value = 0;
};

std::map<std::string, std::string> parse_labels(std::string_view text) {
    std::map<std::string, std::string> labels;
    while (!text.empty()) {
        const auto open = text.find("=\"");
        const auto close = open == std::string_view::npos ? open : text.find('"', open + 2);
        if (close == std::string_view::npos) {
            break;
        }
        labels.emplace(text.substr(0, open), text.substr(open + 2, close - open - 2));
        text.remove_prefix(std::min(close + 2, text.size()));
    }
    return labels;
}

std::optional<sample> parse_sample(std::string_view line) {
    const auto space = line.rfind(' ');
    if (line.empty() || line.front() == '#' || space == std::string_view::npos) {
        return std::nullopt;
    }
    sample parsed;
    const auto series = line.substr(0, space);
    const auto brace = series.find('{');
    parsed.name = series.substr(0, brace);
    if (brace != std::string_view::npos) {
        parsed.labels = parse_labels(series.substr(brace + 1));
    }
    parsed.value = std::strtod(std::string(line.substr(space + 1)).c_str(), nullptr);
    return parsed;
}

double* counter_of(kind_counts& counts, std::string_view name) {
    if (name == "trefoil_offered_total") {
        return &counts.offered;
    }
    if (name == "trefoil_succeeded_total") {
        return &counts.succeeded;
    }
    if (name == "trefoil_not_run_total") {
        return &counts.not_run;
    }
    if (name == "trefoil_unknown_total") {
        return &counts.unknown;
    }
    return nullptr;
}

void add_sample(scrape& target, const sample& s) {
    const auto label = [&](const char* name) {
        const auto found = s.labels.find(name);
        return found == s.labels.end() ? std::string() : found->second;
    };
    if (s.name == "trefoil_threshold") {
        target.threshold = s.value;
    } else if (s.name == "trefoil_refused_total") {
        target.refusals[label("kind") + " " + label("reason")] += s.value;
    } else if (s.name == "trefoil_retries_total") {
        target.kinds[label("kind")].retries += s.value;
    } else if (label("place") == "edge") {
        if (auto* counter = counter_of(target.kinds[label("kind")], s.name)) {
            *counter = s.value;
        }
    }
}

} // namespace

std::optional<scrape> parse_scrape(std::string_view text, std::string node, double at) {
    scrape parsed;
    parsed.at = at;
    parsed.node = std::move(node);
    bool has_own_metric = false;
    for (const auto line : split_lines(text)) {
        const auto read = parse_sample(line);
        if (read && read->name.starts_with("trefoil_")) {
            has_own_metric = true;
            add_sample(parsed, *read);
        }
    }
    return has_own_metric ? std::optional(parsed) : std::nullopt;
}

saved_scrapes parse_saved_scrapes(std::string_view text) {
    saved_scrapes saved;
    std::string page;
    std::string node;
    double at = 0;
    const auto end_page = [&] {
        if (auto parsed = parse_scrape(page, node, at)) {
            saved.scrapes.push_back(*std::move(parsed));
        }
        page.clear();
    };
    for (const auto line : split_lines(text)) {
        constexpr std::string_view page_prefix = "# scrape ";
        if (!line.starts_with(page_prefix)) {
            page.append(line).push_back('\n');
            continue;
        }
        end_page();
        std::istringstream words{std::string(line.substr(page_prefix.size()))};
        std::string state;
        words >> node >> at >> state;
        if (state == "failed") {
            saved.gaps[node].push_back(at);
        }
    }
    end_page();
    return saved;
}

} // namespace trefoil
