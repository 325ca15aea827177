// Schedule for reading and watching the registry.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include <trefoil/base/random.hpp>
#include <trefoil/proxy/registry.hpp>

namespace trefoil {

/// Read all items now.
struct read_registry {
    friend bool operator==(const read_registry&, const read_registry&) = default;
};

/// Watch for changes after the revision.
struct watch_registry {
    std::uint64_t after_revision = 0;
    duration wait{0};

    friend bool operator==(const watch_registry&, const watch_registry&) = default;
};

/// Wait for this time, then request the next step.
struct delay_next_request {
    duration delay{0};

    friend bool operator==(const delay_next_request&, const delay_next_request&) = default;
};

/// Returns the delay between a watch that returned changes and the next watch. Instances often
/// start and stop in groups, and each completed watch wakes all nodes, so changes are fetched in
/// batches. A change just after an answer is seen only by the next watch, yet an instance that
/// leaves and a new configuration must take effect within `drain_time` and `config_time`, so the
/// delay is a fraction of the shorter one. A node that has just started (`is_settling`) uses a
/// shorter delay.
duration watch_coalescing_delay(duration drain_time, duration config_time, bool is_settling);

using registry_step = std::variant<read_registry, watch_registry, delay_next_request>;

/// Determines the next request to the registry: a full read, then successive watches. A watch
/// continues from the last revision that contained changes, since an empty answer does not show
/// whether the watch has missed changes. After a failure, everything is read again after an
/// exponential backoff with jitter, so that not all nodes reconnect to a recovering store at once.
class registry_follower {
public:
    /// `delay` is the time between a watch that returned changes and the next watch, so that
    /// changes close together are fetched in one batch.
    explicit registry_follower(std::uint64_t seed, duration delay = {})
        : random_(seed), coalescing_delay_(delay) {}

    void set_coalescing_delay(duration delay) { coalescing_delay_ = delay; }

    /// Returns the next step.
    registry_step next_step();

    /// Reports that the last step succeeded. Its answer, empty or not, leads to the revision.
    void record_success(std::uint64_t revision, bool has_events);

    /// Reports that the last step failed.
    void record_failure(registry_error why);

    /// True from a failure to read or watch the store until the next success. A history that is
    /// gone does not count as a failure.
    bool is_failing() const { return failures_ > 0; }

    /// Number of consecutive failures.
    std::uint32_t failures() const { return failures_; }

    /// Maximum duration of one watch. A dead connection is detected after this time.
    static constexpr duration max_watch_wait = 3500ms;

private:
    static constexpr duration initial_backoff = 100ms;
    static constexpr duration max_backoff = 600ms;

    random_source random_;
    duration coalescing_delay_;
    bool must_delay_watch_ = false;
    std::optional<std::uint64_t> revision_;
    std::uint32_t failures_ = 0;
    bool has_backed_off_ = false;
};

} // namespace trefoil
