// How often one node may send requests to a second instance.
#pragma once

#include <array>
#include <cstdint>
#include <unordered_map>

#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>

namespace trefoil {

/// The bound that holds for all nodes together: in any window, a service gets at most `ratio` times
/// its requests plus `slack` repeats.
struct fleet_repeat_bound {
    double ratio = 0.2;
    duration window = 10s;
    double slack = 40;

    friend bool operator==(const fleet_repeat_bound&, const fleet_repeat_bound&) = default;
};

/// One node's part of the bound: the ratio applies to the node's own requests and the slack is
/// divided among the nodes, so that the sum keeps the bound without a word between them. Answers a
/// service that fails everywhere while many callers would like to try again.
class repeat_allowance {
public:
    explicit repeat_allowance(fleet_repeat_bound bound) : bound_(bound) {}

    /// The number of nodes that share the slack, at least 1.
    void set_nodes(std::size_t nodes) { nodes_ = nodes == 0 ? 1 : nodes; }

    /// Notes that a request for the service arrived.
    void requested(time_point now, const service_name& service);

    /// Notes a request that is a repeat whatever is decided here, since the run that made it is
    /// one.
    void repeated_above(time_point now, const service_name& service);

    /// Takes one repeat; false if the window has no room for it.
    bool take(time_point now, const service_name& service);

    /// Gives back a repeat that did not reach a target.
    void give_back(time_point now, const service_name& service);

private:
    static constexpr std::size_t slices = 20;
    /// Share of the bound that is used, since windows of nodes and of observers slide apart.
    static constexpr double used_share = 0.75;

    struct slice {
        std::int64_t number = -1;
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };
    using ring = std::array<slice, slices>;

    std::int64_t number_of(time_point now) const;
    slice& present(time_point now, const service_name& service);

    fleet_repeat_bound bound_;
    std::size_t nodes_ = 1;
    std::unordered_map<service_name, ring> services_;
};

} // namespace trefoil
