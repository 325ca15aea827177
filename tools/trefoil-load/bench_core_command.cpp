#include <chrono>
#include <deque>
#include <string>
#include <vector>

#include <fmt/format.h>

#include <trefoil/base/overloaded.hpp>
#include <trefoil/core/node_core.hpp>
#include <trefoil/membership/member_list.hpp>
#include <trefoil/settings/option_set.hpp>
#include <trefoil/table/table.hpp>

#include "commands.hpp"

namespace trefoil {
namespace {

/// Load on one core: calls in flight, rows of its table and peers.
struct core_load {
    std::size_t in_flight = 100;
    std::size_t rows = 10;
    std::size_t peers = 10;
};

constexpr std::size_t sizes_in_flight[] = {100, 1'000, 10'000};
constexpr std::size_t sizes_rows[] = {10, 100, 1'000, 10'000};
constexpr std::size_t sizes_peers[] = {10, 100, 1'000};
/// Number of table rows per service.
constexpr std::size_t rows_per_service = 9;
/// Virtual time between two events.
constexpr duration event_interval = 20us;

std::string service_at(std::size_t row) {
    return fmt::format("s{}", row / rows_per_service);
}

std::string table_of(const core_load& load) {
    std::string text;
    for (const auto& column : table_columns()) {
        text += (text.empty() ? "" : ",") + column;
    }
    text += "\n";
    for (std::size_t i = 0; i + 1 < load.rows; ++i) {
        text +=
            fmt::format("k{},{},*,/p{}/**,5,1,60000,2,1000000,no,100000,99\n", i, service_at(i), i);
    }
    return text + "default,*,*,*,9,1,60000,2,1000000,no,100000,99\n";
}

std::string members_of(const core_load& load) {
    std::string text = std::string(member_header) + "\n";
    std::uint16_t port = 1;
    const auto services = (load.rows + rows_per_service - 1) / rows_per_service;
    for (std::size_t i = 0; i < std::max(load.peers, services); ++i) {
        const endpoint at{"127.0.0.1", port++};
        text += format_member({instance_id(fmt::format("i{}", i)),
                               service_name(fmt::format("s{}", i % services)), domain_name("d"),
                               region_name("r"), at, at, member_state::live}) +
                "\n";
    }
    return text;
}

/// Drives one core alternately with entry calls to peers and with calls from peers to its local
/// target, and keeps a fixed number of attempts in flight.
class loaded_core {
public:
    explicit loaded_core(const core_load& load) : load_(load), core_(settings(load)) {
        collect_attempts(core_.start(now_));
        collect_attempts(
            core_.step(now_, document_received{document_id::table, {1}, table_of(load)}));
        collect_attempts(
            core_.step(now_, document_received{document_id::instances, {1}, members_of(load)}));
        while (open_.size() < load.in_flight) {
            begin_call();
        }
    }

    /// Completes the oldest attempt and starts new calls until the number in flight is restored:
    /// one call, and so two events, in the normal case.
    void replace_oldest_call() {
        const auto attempt = open_.front();
        open_.pop_front();
        step(attempt_answered{attempt, answer_, completed()});
        while (open_.size() < load_.in_flight) {
            begin_call();
        }
    }

    std::uint64_t events() const { return events_; }

private:
    static core_settings settings(const core_load& load) {
        core_settings made;
        made.self = instance_id("self");
        made.service = service_name("own");
        made.domain = domain_name("d");
        made.region = region_name("r");
        made.incarnation = {1};
        const auto capacity = static_cast<std::uint32_t>(2 * load.in_flight);
        made.admission.slots = capacity;
        made.admission.connections = capacity;
        return made;
    }

    static answer_info completed() {
        answer_info info;
        info.result = outcome::completed;
        info.incarnation = {2};
        return info;
    }

    void begin_call() {
        const auto row = ++last_call_ % load_.rows;
        auto request = std::make_shared<http_request>();
        request->method = "GET";
        request->path = fmt::format("/p{}/x", row);
        request->service = service_name(service_at(row));
        if (last_call_ % 2 == 0) {
            step(call_arrived{{last_call_}, listener_kind::caller, request, std::nullopt, {}});
            return;
        }
        call_context context;
        context.request = {last_call_, 1};
        context.kind = fmt::format("k{}", row);
        context.priority = 5;
        context.remaining = 60s;
        context.depth = 1;
        step(call_arrived{
            {last_call_}, listener_kind::peer, request, context, {last_call_ % load_.peers + 2}});
    }

    void step(const event& what) {
        now_ += event_interval;
        ++events_;
        collect_attempts(core_.step(now_, what));
    }

    void collect_attempts(const actions& performed) {
        for (const auto& what : performed) {
            if (const auto* attempt = std::get_if<start_attempt>(&what)) {
                open_.push_back(attempt->attempt);
            }
        }
    }

    core_load load_;
    node_core core_;
    time_point now_{1s};
    std::deque<attempt_id> open_;
    std::uint64_t last_call_ = 0;
    std::uint64_t events_ = 0;
    answer_ptr answer_ = std::make_shared<const http_answer>(http_answer{200, {}, "ok"});
};

double events_per_second(const core_load& load, std::uint64_t milliseconds) {
    using wall_clock = std::chrono::steady_clock;
    loaded_core core(load);
    for (std::size_t i = 0; i < load.in_flight; ++i) {
        core.replace_oldest_call();
    }
    const auto before = core.events();
    const auto begin = wall_clock::now();
    const auto end = begin + std::chrono::milliseconds(milliseconds);
    while (wall_clock::now() < end) {
        for (int i = 0; i < 50; ++i) {
            core.replace_oldest_call();
        }
    }
    const std::chrono::duration<double> took = wall_clock::now() - begin;
    return static_cast<double>(core.events() - before) / took.count();
}

void measure(const char* what, const core_load& load, std::uint64_t milliseconds) {
    fmt::print("{:<10}  {:>9}  {:>6}  {:>5}  {:>12.0f}\n", what, load.in_flight, load.rows,
               load.peers, events_per_second(load, milliseconds));
}

int run(std::uint64_t milliseconds) {
    fmt::print("varied      in flight    rows  peers  events a second\n");
    for (const auto size : sizes_in_flight) {
        measure("in flight", {size, 10, 10}, milliseconds);
    }
    for (const auto size : sizes_rows) {
        measure("rows", {100, size, 10}, milliseconds);
    }
    for (const auto size : sizes_peers) {
        measure("peers", {100, 10, size}, milliseconds);
    }
    return 0;
}

} // namespace

int bench_core_command(int argc, char** argv) {
    std::uint64_t milliseconds = 500;
    option_set options("trefoil-load bench-core",
                       "measures events per second through one core, by the load that it holds");
    options.add_count("milliseconds", &milliseconds, 10, 60'000, "ms",
                      "length of each measurement");
    return std::visit(overloaded{
                          [&](const run_program&) { return run(milliseconds); },
                          [&](const show_help&) {
                              fmt::print("{}", options.help());
                              return 0;
                          },
                          [](const show_version&) {
                              fmt::print("trefoil-load {}\n", program_version);
                              return 0;
                          },
                          [](const settings_refused& refused) {
                              for (const auto& error : refused.errors) {
                                  fmt::print(stderr, "{}\n", to_string(error));
                              }
                              return exit_bad_settings;
                          },
                      },
                      options.parse(argc, argv));
}

} // namespace trefoil
