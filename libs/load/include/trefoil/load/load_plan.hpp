// The plan of a load run: kinds of requests, phases with their rates, and calls at phase starts.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <trefoil/base/endpoint.hpp>
#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>

namespace trefoil {

/// A kind of request that is sent at a constant rate within a phase.
struct planned_kind {
    std::string kind;
    /// Requests per second in a phase with factor 1.
    double rate = 0;
    std::string method;
    service_name service;
    std::string path;
    /// A response that arrives later than this after the request was sent counts as late.
    duration deadline{0};
    /// True if a request that receives status 428 is sent again with the idempotency key from that
    /// response.
    bool keyed = false;

    friend bool operator==(const planned_kind&, const planned_kind&) = default;
};

/// A period with constant rates.
struct planned_phase {
    std::string name;
    duration length{0};
    /// Factor by which the rates of all kinds are multiplied.
    double factor = 1;
    /// Requests per second that the site can complete in this phase. 0 if it can complete all.
    double capacity = 0;

    friend bool operator==(const planned_phase&, const planned_phase&) = default;
};

/// A request that the load generator itself sends at the start of a phase, for example to slow a
/// target down.
struct planned_call {
    std::string phase;
    std::string method;
    endpoint to;
    std::string path;
    std::string body;

    friend bool operator==(const planned_call&, const planned_call&) = default;
};

/// A complete plan of a load run.
struct load_plan {
    /// Caller listeners that receive the requests, by service.
    std::vector<std::pair<service_name, endpoint>> entries;
    /// Admin listeners of the nodes.
    std::vector<endpoint> admins;
    /// Targets whose executions of requests are counted, by service.
    std::vector<std::pair<service_name, endpoint>> targets;
    std::vector<planned_kind> kinds;
    std::vector<planned_phase> phases;
    std::vector<planned_call> calls;

    friend bool operator==(const load_plan&, const load_plan&) = default;
};

/// An error in one line of a plan.
struct plan_error {
    std::size_t line = 0;
    std::string problem;

    friend bool operator==(const plan_error&, const plan_error&) = default;
};

using plan_errors = std::vector<plan_error>;

/// Parses a plan. Returns all errors if there are any. Each line holds one statement; `#` starts a
/// comment:
///   entry SERVICE IP:PORT
///   admin IP:PORT
///   target SERVICE IP:PORT
///   kind NAME RATE METHOD SERVICE PATH DEADLINE_MS [keyed]
///   phase NAME SECONDS FACTOR [CAPACITY]
///   call PHASE METHOD IP:PORT PATH [FILE]   (the content of the file is the body)
std::variant<load_plan, plan_errors> parse_load_plan(std::string_view text);

} // namespace trefoil
