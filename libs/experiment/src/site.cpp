#include <trefoil/experiment/site.hpp>

#include <fmt/format.h>

namespace trefoil {
namespace {

constexpr std::uint64_t max_bytes = 100'000;
constexpr std::uint32_t unlimited_in_flight = 100'000;

child_call call(const char* service, const char* path) {
    return {service_name(service), "GET", path};
}

site_kind kind(const char* name, const char* service, const char* method, const char* path,
               std::uint32_t priority, double weight, duration deadline, double share) {
    site_kind result;
    result.row.kind = name;
    result.row.service = service;
    result.row.method = method;
    result.row.path = std::string(path) + "/**";
    result.row.priority = priority;
    result.row.weight = weight;
    result.row.deadline = deadline;
    result.row.retries = 3;
    result.row.max_in_flight = unlimited_in_flight;
    result.row.max_bytes = max_bytes;
    result.row.slo_percent = 99;
    result.path = path;
    result.share = share;
    return result;
}

site_kind shed_last(site_kind result) {
    result.is_protected = true;
    result.row.once = true;
    return result;
}

site_kind shed_first(site_kind result) {
    result.is_shed_first = true;
    return result;
}

std::string first_segment(const std::string& path) {
    const auto end = path.find('/', 1);
    return path.substr(0, end);
}

} // namespace

site kigali_site() {
    site result;
    result.name = "kigali";
    result.domains = {"kigali-1", "kigali-2", "kigali-3"};
    result.services = {{service_name("history"), 190, 1200}, {service_name("consent"), 190, 1200},
                       {service_name("summary"), 190, 1200}, {service_name("export"), 25, 250},
                       {service_name("device"), 25, 250},    {service_name("calibration"), 25, 250},
                       {service_name("audit"), 25, 250}};
    result.kinds = {
        shed_last(kind("consent_change", "consent", "PUT", "/change", 0, 20, 2s, 0.10)),
        shed_last(kind("enrolment", "consent", "POST", "/enrol", 1, 15, 2s, 0.05)),
        kind("nurse_read", "history", "GET", "/read", 2, 10, 2s, 0.35),
        kind("district_view", "summary", "GET", "/district", 4, 8, 3s, 0.15),
        kind("band_sync", "summary", "GET", "/sync", 6, 2, 2s, 0.20),
        shed_first(kind("research_export", "export", "GET", "/build", 8, 1, 4s, 0.15)),
    };
    result.steps = {
        {{"history", "/read"}, {10ms, {call("consent", "/check")}, false}},
        {{"consent", "/check"}, {5ms, {call("summary", "/night")}, false}},
        {{"summary", "/night"}, {20ms, {call("device", "/log")}, false}},
        {{"device", "/log"}, {120ms, {call("calibration", "/band")}, false}},
        {{"calibration", "/band"}, {20ms, {call("audit", "/note")}, false}},
        {{"audit", "/note"}, {10ms, {}, false}},
        {{"consent", "/change"}, {10ms, {call("summary", "/drop")}, false}},
        {{"summary", "/drop"}, {10ms, {call("device", "/erase")}, false}},
        {{"device", "/erase"}, {100ms, {call("audit", "/note")}, false}},
        {{"consent", "/enrol"}, {10ms, {call("device", "/register")}, false}},
        {{"device", "/register"}, {100ms, {call("audit", "/note")}, false}},
        {{"summary", "/district"},
         {20ms, {call("device", "/log/1"), call("device", "/log/2")}, true}},
        {{"summary", "/sync"}, {10ms, {call("device", "/log")}, false}},
        {{"export", "/build"}, {100ms, {call("history", "/range"), call("device", "/log")}, true}},
        {{"history", "/range"}, {30ms, {call("summary", "/plain")}, false}},
        {{"summary", "/plain"}, {20ms, {}, false}},
    };
    result.normal_rate = 315;
    return result;
}

site keurwoning_site() {
    site result;
    result.name = "keurwoning";
    result.domains = {"west-1", "west-2", "west-3", "west-4"};
    result.services = {{service_name("report"), 55, 420},   {service_name("booking"), 55, 420},
                       {service_name("planning"), 55, 420}, {service_name("intake"), 15, 200},
                       {service_name("ledger"), 15, 200},   {service_name("notary"), 15, 200},
                       {service_name("audit"), 15, 200}};
    result.kinds = {
        shed_last(kind("payment", "booking", "POST", "/pay", 0, 20, 2s, 0.08)),
        shed_last(kind("booking", "booking", "POST", "/book", 0, 20, 2s, 0.17)),
        kind("site_call", "report", "PUT", "/site", 2, 10, 2s, 0.15),
        kind("draft_report", "report", "GET", "/draft", 4, 6, 2s, 0.25),
        kind("survey_day", "planning", "GET", "/day", 5, 4, 3s, 0.10),
        shed_first(kind("availability", "planning", "GET", "/free", 8, 1, 1s, 0.25)),
    };
    result.steps = {
        {{"booking", "/book"}, {10ms, {call("planning", "/hold")}, false}},
        {{"planning", "/hold"}, {10ms, {call("report", "/open")}, false}},
        {{"report", "/open"}, {10ms, {call("intake", "/visit")}, false}},
        {{"intake", "/visit"}, {100ms, {call("ledger", "/line")}, false}},
        {{"ledger", "/line"}, {15ms, {call("notary", "/seal")}, false}},
        {{"notary", "/seal"}, {10ms, {call("audit", "/note")}, false}},
        {{"audit", "/note"}, {5ms, {}, false}},
        {{"booking", "/pay"}, {10ms, {call("intake", "/fee")}, false}},
        {{"intake", "/fee"}, {80ms, {call("ledger", "/line")}, false}},
        {{"report", "/site"}, {10ms, {call("intake", "/visit")}, false}},
        {{"report", "/draft"}, {20ms, {call("intake", "/photos")}, false}},
        {{"intake", "/photos"}, {100ms, {}, false}},
        {{"planning", "/day"},
         {10ms, {call("intake", "/photos/1"), call("intake", "/photos/2")}, true}},
        {{"planning", "/free"}, {10ms, {call("intake", "/diary")}, false}},
        {{"intake", "/diary"}, {80ms, {}, false}},
    };
    result.normal_rate = 365;
    return result;
}

service_work work_at(const site& where, const service_name& service, const std::string& path) {
    const auto found = where.steps.find({service.str(), first_segment(path)});
    return found == where.steps.end() ? service_work{1ms, {}, false} : found->second;
}

duration add_holding_times(const site& where, const slow_services& slow,
                           const service_name& service, const std::string& path,
                           std::map<std::string, duration>& held) {
    const auto work = work_at(where, service, path);
    const auto factor = slow.find(service.str());
    const double slowness = factor == slow.end() ? 1.0 : factor->second;
    duration slot_time(
        static_cast<duration::rep>(static_cast<double>(work.compute.count()) * slowness));
    duration sequential_time{0};
    duration longest_child_time{0};
    for (const auto& child : work.children) {
        const auto time = add_holding_times(where, slow, child.service, child.path, held) +
                          2 * where.network.same_domain_latency;
        sequential_time += time;
        longest_child_time = std::max(longest_child_time, time);
    }
    slot_time += work.in_parallel ? longest_child_time : sequential_time;
    held[service.str()] += slot_time;
    return slot_time;
}

std::string expected_answer(const site& where, const service_name& service, const std::string& path,
                            const std::string& body) {
    std::string children;
    for (const auto& child : work_at(where, service, path).children) {
        children += expected_answer(where, child.service, child.path, body);
    }
    return fmt::format("({} {}{})", service.str(), body, children);
}

std::string table_text(const site& where) {
    std::string text;
    for (const auto& column : table_columns()) {
        text += (text.empty() ? "" : ",") + column;
    }
    text += "\n";
    const auto add = [&](const table_row& row) {
        text += fmt::format("{},{},{},{},{},{},{},{},{},{},{},{}\n", row.kind, row.service,
                            row.method, row.path, row.priority, row.weight,
                            row.deadline.count() / 1000, row.retries, row.max_in_flight,
                            row.once ? "yes" : "no", row.max_bytes, row.slo_percent);
    };
    for (const auto& kind : where.kinds) {
        add(kind.row);
    }
    table_row default_row = where.kinds.back().row;
    default_row.kind = std::string(default_kind);
    default_row.service = default_row.method = default_row.path = "*";
    default_row.priority = 9;
    add(default_row);
    return text;
}

} // namespace trefoil
