// One node's decisions on the requests of one workspace with a limit.
#pragma once

#include <cstddef>
#include <optional>

#include <trefoil/base/time.hpp>
#include <trefoil/quota/demand_average.hpp>
#include <trefoil/quota/quota_bounds.hpp>

namespace trefoil {

/// A node that has heard nothing for this long keeps to its share of the rate as last known.
inline constexpr duration max_news_age = 1s;
/// From this part of the depth on, the whole has ample room.
inline constexpr double ample_part = 0.5;

/// The limit of a workspace as a token bucket over all nodes, and what is asked of them.
struct whole_quota {
    /// Tokens left; negative if more was admitted than the limit allows.
    double level = 0;
    /// Requests a second that arrive at the nodes in touch together, admitted or not.
    double demand = 0;
    /// Part of the limit that the nodes in touch may use; 1 if all are in touch.
    double part = 1;

    friend bool operator==(const whole_quota&, const whole_quota&) = default;
};

/// What a node tells of one workspace: differences since it last told.
struct quota_use {
    double admitted = 0;
    double asked = 0;

    friend bool operator==(const quota_use&, const quota_use&) = default;
};

/// Admits what the whole bucket, as last told, has room for. Between two messages the node spends
/// credit: its share, by demand, of the level and of the rate. While the level is high the credit
/// is renewed with each message, so that few requests at many nodes pass; once it is used up, the
/// node has its share of the rate only, less while there is debt. Without news the share stays as
/// it was; a node that has had none has an equal part.
///
/// Load: a workspace jumps to ten times its usual at all nodes at once, or sends a request every
/// ten seconds to each of many nodes.
class node_quota {
public:
    /// `phase` in [0, 1) differs between nodes, so that they don't gain a whole credit together.
    node_quota(time_point now, const workspace_limit& limit, const quota_bounds& bounds,
               std::size_t nodes, double phase);

    /// Returns true and counts the request if it is admitted.
    bool admit(time_point now);

    /// Takes back an admission whose request has not run.
    void give_back();

    /// Applies the whole as another node knows it.
    void apply(time_point now, const whole_quota& whole);

    /// Applies a changed limit: a lower one binds and a higher one gives room at once.
    void set_limit(time_point now, const workspace_limit& limit, const quota_bounds& bounds);
    void set_nodes(std::size_t nodes) { nodes_ = nodes; }

    /// Time until this node has room for a request.
    duration time_to_room(time_point now) const;

    /// True if others should hear at once what was admitted, since the credit is nearly used while
    /// the whole seems to have room.
    bool should_tell_now() const;

    const quota_use& untold() const { return untold_; }
    /// Counts use as told.
    void mark_told(const quota_use& told);
    /// Adds use of another node that this one passes on.
    void add_untold(const quota_use& use);
    /// The whole on which it decides.
    const whole_quota& whole() const { return whole_; }

    const workspace_limit& limit() const { return limit_; }
    /// This node's share of the rate.
    double share(time_point now) const;
    /// Age of the news on which it decides; empty if it has had none.
    std::optional<duration> news_age(time_point now) const;

private:
    bool has_news(time_point now) const;
    bool is_ample() const;
    /// The depth and the rate that the nodes in touch may use.
    double usable_depth() const { return depth_ * whole_.part; }
    double usable_rate() const { return limit_.requests_per_second * whole_.part; }
    double refill_rate(time_point now) const;
    double max_credit(time_point now) const;
    void refill(time_point now);

    workspace_limit limit_;
    double depth_;
    std::size_t nodes_;
    double phase_;
    whole_quota whole_;
    std::optional<time_point> told_at_;
    /// Share of the demand when news last came; an equal part before.
    double frozen_share_;
    demand_average own_demand_;
    double credit_;
    time_point updated_;
    quota_use untold_;
};

} // namespace trefoil
