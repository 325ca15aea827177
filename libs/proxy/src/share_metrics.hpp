// Counters of how a short service is shared among requests.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>

namespace trefoil {

/// A call that has ended.
struct share_sample {
    workspace_name workspace;
    /// Priority of the whole request.
    std::uint32_t priority = 0;
    /// True for a call of a target.
    bool is_nested = false;
    /// True if it was refused and has not run.
    bool is_refused = false;
    /// True if it was refused for lack of room, and not for its key or the limit of its workspace.
    bool is_shed = false;
    /// True if its route leads to a service that is short at present.
    bool leads_to_short_service = false;
    time_point began;
    /// Time until the end of the call.
    duration took{0};
    /// Zero if the route has none.
    duration target_latency{0};

    friend bool operator==(const share_sample&, const share_sample&) = default;
};

/// Counts the requests that begin at this node by workspace, and the signs of a short service that
/// is shared badly. Workspaces beyond a fixed number are counted together, so that memory is
/// bounded.
class share_metrics {
public:
    void record(const share_sample& ended);

    /// Refusals after more than an eighth of the target latency.
    std::uint64_t late_refusals() const { return late_refusals_; }
    /// Refusals for lack of room of requests that lead to a short service, while a less important
    /// one that began at about the same time was admitted.
    std::uint64_t inversions() const { return inversions_; }

    /// Returns the counters in the Prometheus text format: the largest workspaces by name, the
    /// remaining ones together. `runs_turned_away` is the number of runs whose calls were refused.
    std::string text(std::uint64_t runs_turned_away) const;

private:
    /// Workspaces that are counted by name.
    static constexpr std::size_t max_counted = 1024;
    /// Workspaces that are shown by name.
    static constexpr std::size_t max_shown = 20;
    static constexpr std::size_t priorities = 10;

    struct workspace_counts {
        std::uint64_t admitted = 0;
        std::uint64_t refused = 0;
        std::uint64_t total() const { return admitted + refused; }
    };

    void record_order(const share_sample& ended);

    std::uint64_t late_refusals_ = 0;
    std::uint64_t inversions_ = 0;
    std::unordered_map<workspace_name, workspace_counts> workspaces_;
    workspace_counts others_;
    /// The latest start of an admitted request of each priority that leads to a short service.
    std::array<std::optional<time_point>, priorities> admitted_at_;
};

} // namespace trefoil
