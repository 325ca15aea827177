#include <trefoil/membership/member_list.hpp>

#include <optional>
#include <set>

#include <fmt/format.h>

#include <trefoil/table/csv.hpp>

namespace trefoil {
namespace {

constexpr std::size_t column_count = 7;

std::optional<member_state> parse_state(std::string_view text) {
    if (text == "live") {
        return member_state::live;
    }
    if (text == "leaving") {
        return member_state::leaving;
    }
    return std::nullopt;
}

std::variant<member, std::string> parse_line(std::string_view line) {
    const auto cells = split_csv_line(line, ',');
    if (!cells || cells->size() != column_count) {
        return fmt::format("expected {} cells", column_count);
    }
    for (std::size_t i = 0; i < 4; ++i) {
        if ((*cells)[i].empty()) {
            return std::string("empty name of instance, service, domain or region");
        }
    }
    const auto peer = parse_endpoint((*cells)[4]);
    const auto control = parse_endpoint((*cells)[5]);
    const auto state = parse_state((*cells)[6]);
    if (!peer.ok() || !control.ok()) {
        return std::string("address of peer or control is not IP:PORT");
    }
    if (!state) {
        return std::string("state must be live or leaving");
    }
    return member{instance_id((*cells)[0]),
                  service_name((*cells)[1]),
                  domain_name((*cells)[2]),
                  region_name((*cells)[3]),
                  *peer,
                  *control,
                  *state};
}

} // namespace

std::variant<std::vector<member>, member_errors> parse_members(std::string_view text) {
    const auto lines = split_lines(text);
    if (lines.empty() || lines.front() != member_header) {
        return member_errors{{1, fmt::format("expected the header {}", member_header)}};
    }
    std::vector<member> members;
    member_errors errors;
    std::set<instance_id> seen;
    for (std::size_t i = 1; i < lines.size(); ++i) {
        auto parsed = parse_line(lines[i]);
        if (const auto* problem = std::get_if<std::string>(&parsed)) {
            errors.push_back({i + 1, *problem});
            continue;
        }
        auto& entry = std::get<member>(parsed);
        if (!seen.insert(entry.instance).second) {
            errors.push_back({i + 1, "instance is listed more than once"});
        }
        members.push_back(std::move(entry));
    }
    if (!errors.empty()) {
        return errors;
    }
    return members;
}

std::string format_member(const member& entry) {
    return fmt::format("{},{},{},{},{},{},{}", entry.instance.str(), entry.service.str(),
                       entry.domain.str(), entry.region.str(), to_string(entry.peer),
                       to_string(entry.control),
                       entry.state == member_state::live ? "live" : "leaving");
}

} // namespace trefoil
