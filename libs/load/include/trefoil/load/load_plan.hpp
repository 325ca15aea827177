// A plan of what a load run sends, when, and what it does between its phases.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <trefoil/base/endpoint.hpp>
#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>

namespace trefoil {

/// A kind of request that is sent at a steady rate.
struct planned_kind {
    std::string kind;
    /// Requests a second in a phase of factor 1.
    double rate = 0;
    std::string method;
    service_name service;
    std::string path;
    /// Answers that come later than this after the sending are late.
    duration deadline{0};
    /// True if a request that is answered 428 is sent again with the key it was given.
    bool keyed = false;

    friend bool operator==(const planned_kind&, const planned_kind&) = default;
};

/// A span of time with one rate.
struct planned_phase {
    std::string name;
    duration length{0};
    /// Factor on the rates of all kinds.
    double factor = 1;
    /// Requests a second that the site can complete in this phase; 0 if that is all of them.
    double capacity = 0;

    friend bool operator==(const planned_phase&, const planned_phase&) = default;
};

/// A request that the run itself makes when a phase begins, as to slow a target down.
struct planned_call {
    std::string phase;
    std::string method;
    endpoint to;
    std::string path;
    std::string body;

    friend bool operator==(const planned_call&, const planned_call&) = default;
};

/// Everything that a run needs.
struct load_plan {
    /// Nodes that take callers' requests, by service.
    std::vector<std::pair<service_name, endpoint>> entries;
    /// Admin listeners of nodes.
    std::vector<endpoint> admins;
    /// Targets whose runs are counted, by service.
    std::vector<std::pair<service_name, endpoint>> targets;
    std::vector<planned_kind> kinds;
    std::vector<planned_phase> phases;
    std::vector<planned_call> calls;

    friend bool operator==(const load_plan&, const load_plan&) = default;
};

/// A line of a plan that can't be used.
struct plan_error {
    std::size_t line = 0;
    std::string problem;

    friend bool operator==(const plan_error&, const plan_error&) = default;
};

using plan_errors = std::vector<plan_error>;

/// Reads a plan, a statement a line; `#` starts a comment:
///   entry SERVICE IP:PORT
///   admin IP:PORT
///   target SERVICE IP:PORT
///   kind NAME RATE METHOD SERVICE PATH DEADLINE_MS [keyed]
///   phase NAME SECONDS FACTOR [CAPACITY]
///   call PHASE METHOD IP:PORT PATH [FILE]   (the file's text is the body)
std::variant<load_plan, plan_errors> parse_load_plan(std::string_view text);

} // namespace trefoil
