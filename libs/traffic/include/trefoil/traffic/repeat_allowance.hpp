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
/// service that fails everywhere while many callers would like to try again: once a part of the
/// allowance is used, the rest is kept for the most important whole requests, as many of them as
/// can be repeated all the time. A whole request needs each of its calls, so repeats that are
/// spread over all of them would hardly finish any.
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

    /// Takes one repeat for a whole request of this priority and share, see share_of; false if the
    /// window has no room for it, or only for more important ones.
    bool take(time_point now, const service_name& service, std::uint32_t priority,
              std::uint32_t share);

    /// Gives back a repeat that did not reach a target.
    void give_back(time_point now, const service_name& service);

private:
    static constexpr std::size_t slices = 20;
    /// Share of the bound that is used, since windows of nodes and of observers slide apart.
    static constexpr double used_share = 0.75;

    /// Part of the allowance that is given to all alike.
    static constexpr double open_share = 0.3;
    /// Part of the allowance that is planned for; the rest bears what was given to all before.
    static constexpr double planned_share = 0.8;
    /// Priorities that are told apart; less important ones count as the last.
    static constexpr std::uint32_t ranked_priorities = 5;
    /// Parts of the shares of one priority that are told apart.
    static constexpr std::uint32_t parts_per_priority = 8;

    struct slice {
        std::int64_t number = -1;
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };
    /// Wanted repeats by rank, the most important first.
    using wishes = std::array<std::uint32_t, std::size_t{ranked_priorities} * parts_per_priority>;

    struct service_state {
        std::array<slice, slices> ring;
        /// The slice in which wishes are counted, and the counts of it and of the one before.
        std::int64_t wished_in = -1;
        wishes wished{};
        wishes wished_before{};
        /// What the rank that fits in part has to good, in repeats.
        double credit = 0;
    };

    static std::size_t rank_of(std::uint32_t priority, std::uint32_t share);
    duration slice_length() const { return bound_.window / static_cast<int>(slices); }
    std::int64_t number_of(time_point now) const;
    slice& present(time_point now, const service_name& service);
    void wish(time_point now, service_state& at, std::size_t rank) const;
    /// Repeats that are wanted in a window at the present rate, of the ranks before this one.
    double wanted_before(time_point now, const service_state& at, std::size_t rank) const;
    /// True if repeats of the rank can be given all the time; for the rank that fits in part, to
    /// as many as fit.
    bool fits(time_point now, service_state& at, std::size_t rank, double planned) const;

    fleet_repeat_bound bound_;
    std::size_t nodes_ = 1;
    std::unordered_map<service_name, service_state> services_;
};

} // namespace trefoil
