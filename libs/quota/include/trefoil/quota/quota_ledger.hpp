// All limited workspaces at one node: decisions, and what is told and heard of them.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>
#include <trefoil/quota/quota_bounds.hpp>
#include <trefoil/quota/quota_message.hpp>
#include <trefoil/workspace/workspace.hpp>

namespace trefoil {

/// A request that its workspace's limit has no room for.
struct quota_refusal {
    /// Time until this node has room for a request of the workspace.
    duration retry_after{0};

    friend bool operator==(const quota_refusal&, const quota_refusal&) = default;
};

struct quota_admission {
    friend bool operator==(const quota_admission&, const quota_admission&) = default;
};

using quota_decision = std::variant<quota_admission, quota_refusal>;

/// A workspace begins or ends to be limited at this node.
struct limiting_change {
    workspace_name workspace;
    bool is_limited = false;
    workspace_limit limit;
    /// This node's share of the rate.
    double share = 0;
    /// Age of what the decision is based on; empty if the node has heard nothing.
    std::optional<duration> news_age;

    friend bool operator==(const limiting_change&, const limiting_change&) = default;
};

/// Requests of one workspace at this node.
struct workspace_counts {
    workspace_name workspace;
    std::uint64_t admitted = 0;
    std::uint64_t limited = 0;

    friend bool operator==(const workspace_counts&, const workspace_counts&) = default;
};

/// Decides for the workspaces of the configuration in force. State is made for those that are asked
/// for; memory is bounded by the number of limited workspaces. Times are those of a clock that also
/// counts while the machine is suspended.
class quota_ledger {
public:
    using change_handler = std::function<void(const limiting_change&)>;

    /// `seed` differs between nodes.
    quota_ledger(quota_bounds bounds, std::uint64_t seed, change_handler on_change);

    /// Replaces the limits; those that aren't named end.
    void set_limits(time_point now, const std::vector<workspace_entry>& workspaces);
    void set_bounds(time_point now, const quota_bounds& bounds);
    /// Sets the number of nodes in all and the other domains that have nodes.
    void set_fleet(time_point now, std::size_t nodes, std::vector<domain_name> other_domains);
    /// True if no workspace has a limit.
    bool empty() const { return limits_.empty(); }

    quota_decision admit(time_point now, const workspace_name& workspace);
    /// Takes back the admission of a request that has not run.
    void give_back(const workspace_name& workspace);

    /// Reports the end of limits that have refused nothing for some time.
    void check_limiting(time_point now);

    // As a node that reports to the one that gathers for its domain.

    /// What has not been told, up to max_quota_entries.
    node_report make_report() const;
    void handle_answer(time_point now, const node_report& told, const node_answer& answer);
    /// True if the node should report at once.
    bool should_report_now() const { return should_report_now_; }

    // As a node to which others report.

    /// True if this node knows enough to take reports: it has run for some time.
    bool may_gather(time_point now) const;
    /// True if this node gathers or has heard lately from one that does. One that hasn't must not
    /// answer reports: it would tell of room that it doesn't know of.
    bool knows_whole(time_point now) const;
    /// True if this node, which is the first of its domain in its own view, is so in that of the
    /// others: they report to it, or nobody has for so long that it must begin.
    bool should_gather(time_point now, std::size_t nodes_in_domain) const;
    /// Sets whether this node gathers for its domain. One that doesn't passes reports on. It ends
    /// to gather only when another node has answered its report.
    void set_gathering(bool is_gathering);
    bool is_gathering() const { return is_gathering_; }
    node_answer take_report(time_point now, const node_report& report);
    /// Gathers this node's own use.
    void gather_own(time_point now);
    domain_report make_domain_report(time_point now, const domain_name& own, const domain_name& to,
                                     bool is_due) const;
    void handle_delivery(const domain_name& to, const domain_report& told);
    /// Returns false if this node doesn't gather for its domain; nothing was taken then.
    bool take_domain_report(time_point now, const domain_report& report);
    /// True if the other domains should be told at once.
    bool should_tell_domains_now() const { return should_tell_domains_now_; }

    /// Ends the wish to report or tell at once, after it was done as far as possible.
    void note_told() { should_report_now_ = should_tell_domains_now_ = false; }

    /// The `count` workspaces with the most requests, and the others together under an empty name.
    std::vector<workspace_counts> largest(std::size_t count) const;

private:
    struct limit_state {
        workspace_name name;
        workspace_limit limit;
        std::optional<node_quota> node;
        std::optional<fleet_quota> fleet;
        std::uint64_t admitted = 0;
        std::uint64_t limited = 0;
        std::optional<time_point> limited_at;
    };

    struct heard_domain {
        domain_name name;
        time_point at;
    };

    node_quota& node_of(time_point now, limit_state& state);
    fleet_quota& fleet_of(time_point now, limit_state& state);
    /// Takes the domains that were not heard of lately as out of touch, if no node has told this
    /// one of the whole.
    void lose_unheard(time_point now, fleet_quota& fleet) const;
    void note_heard(time_point now, const domain_name& from);
    limit_state* find(workspace_code code);
    void report_change(time_point now, const limit_state& state, bool is_limited);
    void gather(time_point now, limit_state& state, const quota_use& use);

    quota_bounds bounds_;
    std::uint64_t seed_;
    change_handler on_change_;
    std::unordered_map<workspace_code, limit_state> limits_;
    /// Workspaces that were scarce by the last answer.
    std::unordered_map<workspace_code, whole_quota> scarce_;
    std::optional<time_point> answered_at_;
    std::optional<time_point> started_at_;
    std::optional<time_point> asked_at_;
    std::size_t nodes_ = 1;
    std::vector<domain_name> other_domains_;
    /// Domains that have told this node something within max_domain_silence.
    std::vector<heard_domain> heard_domains_;
    /// True if a node that gathers has answered this one.
    bool was_answered_ = false;
    bool is_gathering_ = false;
    bool should_report_now_ = false;
    bool should_tell_domains_now_ = false;
};

} // namespace trefoil
