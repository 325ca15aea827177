// Order of requests of one priority by the fair shares of their workspaces.
#pragma once

#include <array>
#include <cstdint>
#include <unordered_map>

#include <trefoil/admission/admission_position.hpp>
#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>

namespace trefoil {

/// Orders the whole requests of one priority so that shedding all of them from some place on leaves
/// each workspace its max-min fair share of what is served. Answers a load in which one workspace
/// sends many times its usual: only its surplus goes behind the requests of the others.
///
/// The demand of a workspace is the service time that its requests ask of the short services. It is
/// counted where requests begin, before any is refused, and decays with a half-life. A request that
/// is at the fraction u of the requests of its workspace has the demand u * d of that workspace
/// ahead of it. Ordered by this value v, the requests before a bound v are those that max-min
/// fairness serves at the water level v (progressive filling, Bertsekas and Gallager 1992). The
/// place is the share of all demand before v, so that places are evenly distributed over demand.
class workspace_shares {
public:
    /// Counts a request with this demand and returns its place, from 0 to less than 1. `fraction`
    /// is its place among the requests of its own workspace, from 0 to less than 1.
    double place(time_point now, std::uint32_t priority, const workspace_name& workspace,
                 double fraction, double demand);

private:
    /// Time in which the weight of a request halves.
    static constexpr duration half_life = 5s;
    /// Maximum number of workspaces of a priority that are counted apart. The smallest is evicted.
    static constexpr std::size_t max_workspaces = 1024;

    struct priority_demand {
        std::unordered_map<workspace_name, double> workspaces;
        time_point decayed_at;
    };

    static void decay(time_point now, priority_demand& demand);
    static double& entry_of(priority_demand& demand, const workspace_name& workspace);

    std::array<priority_demand, admit_all / positions_per_priority> priorities_;
};

} // namespace trefoil
