// Decides when the registry is read and watched.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include <trefoil/base/random.hpp>
#include <trefoil/proxy/registry.hpp>

namespace trefoil {

/// Read everything now.
struct read_registry {
    friend bool operator==(const read_registry&, const read_registry&) = default;
};

/// Wait for changes after the revision.
struct watch_registry {
    std::uint64_t after = 0;
    duration wait{0};

    friend bool operator==(const watch_registry&, const watch_registry&) = default;
};

/// Do nothing for some time, then ask again.
struct pause_registry {
    duration time{0};

    friend bool operator==(const pause_registry&, const pause_registry&) = default;
};

/// How long a watch that brought changes is followed by none. Instances come and go in numbers, and
/// each watch that ends wakes the whole fleet, so changes are fetched together; but an instance
/// that leaves, or a configuration that comes, just after an answer is heard of only with the next,
/// and must be heeded within these times. A node that has just started rests for less.
duration rest_between_watches(duration drain_time, duration config_time, bool is_settling);

using follow_step = std::variant<read_registry, watch_registry, pause_registry>;

/// Follows the registry: a full read, then one watch after the other. A watch continues from the
/// last revision that brought changes, since an empty answer says nothing of changes that the watch
/// has missed. After a failure everything is read again, after a pause that grows and has jitter,
/// so that a returning store is not met by all nodes at once.
class registry_follower {
public:
    /// `rest` is the time that passes after a watch has brought changes before the next one.
    /// Changes that come together are then fetched together.
    explicit registry_follower(std::uint64_t seed, duration rest = {})
        : random_(seed), rest_(rest) {}

    void set_rest(duration rest) { rest_ = rest; }

    /// What to do now.
    follow_step next();

    /// The last step gave an answer that leads to the revision, empty or not.
    void succeeded(std::uint64_t revision, bool has_events);

    /// The last step failed.
    void failed(registry_problem why);

    /// True between a failure to reach the store and the next success.
    bool is_lost() const { return failures_ > 0; }

    /// Longest wait of one watch. A connection that has gone silent is noticed after it.
    static constexpr duration watch_wait = 3500ms;

private:
    static constexpr duration first_pause = 100ms;
    static constexpr duration longest_pause = 600ms;

    random_source random_;
    duration rest_;
    bool must_rest_ = false;
    std::optional<std::uint64_t> revision_;
    std::uint32_t failures_ = 0;
    bool has_paused_ = false;
};

} // namespace trefoil
