// The limit of one workspace over all nodes, as known at a node that gathers for its domain.
#pragma once

#include <optional>
#include <vector>

#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>
#include <trefoil/quota/demand_average.hpp>
#include <trefoil/quota/node_quota.hpp>

namespace trefoil {

/// A domain that was not heard of for this long is out of touch.
inline constexpr duration max_domain_silence = 600ms;

/// What the node that gathers for a domain tells that of another domain about one workspace.
struct domain_use {
    /// Requests admitted in its domain since it last told this one.
    double admitted = 0;
    /// Requests a second that arrive in its domain.
    double demand = 0;
    /// The receiver's part of the whole demand as the sender knows it, 0 to 1.
    double receiver_part = 0;

    friend bool operator==(const domain_use&, const domain_use&) = default;
};

/// A token bucket with the limit of the whole, from which the reported admissions of all domains
/// are taken. It may go into debt, which is repaid.
///
/// Each domain has a part of the rate by its demand, and a small equal part. A domain that was not
/// heard of for max_domain_silence is assumed to use its part as last known. A domain's own part is
/// the least that any other domain has told it, so that it doesn't grow before they know; parts
/// therefore stay as they were while domains are out of touch. Use that the other domains have not
/// confirmed lowers the level that the own nodes are told, so that a domain is held to its part
/// also before it is known that it was cut off. Load: domains are cut apart while a workspace is
/// far above its limit on both sides.
class fleet_quota {
public:
    fleet_quota(time_point now, const workspace_limit& limit, const quota_bounds& bounds);

    /// Adds what was admitted and asked in the own domain.
    void add_own(time_point now, const quota_use& use);

    /// Names the other domains that have nodes.
    void set_domains(time_point now, const std::vector<domain_name>& others);

    /// Applies what another domain has told.
    void apply(time_point now, const domain_name& from, const domain_use& use);
    /// Notes that a domain was heard of, also if it had nothing to tell of this workspace.
    void heard_of(time_point now, const domain_name& from);

    /// Takes a domain as out of touch, and most of the own part of the level as used, until it is
    /// heard of. For a node that begins to gather without knowing what was admitted before.
    void lose(time_point now, const domain_name& name);

    /// Returns what is to be told a domain, or nothing if it is out of touch or can wait: a large
    /// part of the bucket was admitted, the level is low, or `is_due` is set and there is something
    /// new.
    std::optional<domain_use> news_for(time_point now, const domain_name& to, bool is_due) const;
    /// True if another domain should hear at once of what was admitted.
    bool has_prompt_news(time_point now) const;
    /// Counts what was told as known to the domain.
    void mark_told(const domain_name& to, const domain_use& told);

    /// Applies the whole as told by the node that gathered before.
    void adopt(time_point now, const whole_quota& whole);
    void set_limit(time_point now, const workspace_limit& limit, const quota_bounds& bounds);

    whole_quota whole(time_point now);
    /// True if nodes must know of the level.
    bool is_scarce(time_point now);
    /// Part of the limit that the own domain may use by itself.
    double own_part(time_point now) const;

private:
    struct other_domain {
        domain_name name;
        double demand = 0;
        /// Its part of the limit when it was last heard of.
        double part = 0;
        /// The own part as this domain has last told; empty before.
        std::optional<double> told_own_part;
        time_point heard_at;
        bool is_in_touch = true;
        /// Assumed to have been admitted since it was last heard of.
        double assumed = 0;
        /// Own admissions that it has not been told.
        double untold = 0;
        /// Own demand that it was last told.
        double told_demand = 0;
        /// Its part that it was last told.
        double told_part = 0;
    };

    other_domain* find(const domain_name& name);
    const other_domain* find(const domain_name& name) const;
    double own_demand(time_point now) const;
    /// Demand of all domains, or of those in touch.
    double whole_demand(time_point now, bool only_in_touch = false) const;
    /// Part of a domain with this demand.
    double part_of(time_point now, double demand) const;
    void refill(time_point now);
    /// The level less what the unconfirmed use exceeds its bound by.
    double safe_level(time_point now) const;
    /// Use that this domain may leave unconfirmed without consequence.
    double free_untold() const;
    /// Unconfirmed use beyond what a part of the overshoot has room for.
    double excess_untold() const;
    /// Part of the limit that domains out of touch are assumed to use.
    double assumed_part(time_point now) const;
    /// Counts that use over a time.
    void assume_use(double part, double requests);
    void check_touch(time_point now);

    workspace_limit limit_;
    double depth_;
    /// Use that one domain may leave unconfirmed in any case.
    double overshoot_;
    double level_;
    time_point updated_;
    demand_average own_demand_;
    /// Whole demand as adopted, which fades while the own figures build up.
    double adopted_demand_ = 0;
    time_point adopted_at_;
    std::vector<other_domain> others_;
};

} // namespace trefoil
