// Schedule for reading and watching the registry.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <variant>

#include <trefoil/base/random.hpp>
#include <trefoil/proxy/registry.hpp>

namespace trefoil {

/// Read all items now.
struct read_registry {
    /// The read has failed if no byte of an answer arrives for this long.
    duration answer_timeout{0};

    friend bool operator==(const read_registry&, const read_registry&) = default;
};

/// Watch for changes after the revision.
struct watch_registry {
    std::uint64_t after_revision = 0;
    /// Time that the registry may wait for changes.
    duration wait{0};
    /// The watch has failed if no byte of an answer arrives for this long after `wait`.
    duration answer_timeout{0};

    friend bool operator==(const watch_registry&, const watch_registry&) = default;
};

/// Wait for this time, then request the next step.
struct delay_next_request {
    duration delay{0};

    friend bool operator==(const delay_next_request&, const delay_next_request&) = default;
};

/// The bounds within which a node must follow the registry.
struct registry_bounds {
    /// Time after a disturbance of the node or its connections from which the other bounds hold.
    duration stable_window = 3s;
    /// Time within which an instance that is leaving must receive no more requests.
    duration drain_time = 2s;
    /// Time within which a new configuration must take effect.
    duration config_apply_time = 2s;
    /// Time after which a key that was taken away admits no request; empty if there is no such
    /// bound.
    std::optional<duration> revocation_bound = {};

    /// Time within which a node has to learn of a change. Of the revocation bound it takes half,
    /// since a node without news that recent admits no requests with keys.
    duration change_bound() const {
        const auto bound = std::min(drain_time, config_apply_time);
        return revocation_bound ? std::min(bound, *revocation_bound / 2) : bound;
    }

    friend bool operator==(const registry_bounds&, const registry_bounds&) = default;
};

/// Durations of the requests to the registry and of the pauses between them.
struct registry_timing {
    /// Time that a watch may wait for changes.
    duration watch_wait{0};
    /// Timeout of an answer, which doubles with consecutive failures up to `max_answer_timeout`.
    duration answer_timeout{0};
    duration max_answer_timeout{0};
    /// Delay between a watch that returned changes and the next watch.
    duration coalescing_delay{0};
    /// Wait of the watch that follows this delay; `watch_wait` if it is not set.
    std::optional<duration> watch_wait_after_changes;
    /// Upper bound on the time to establish a connection. An attempt that began while the node was
    /// cut off must end soon, since the next one shows that the way is back.
    duration max_connect_timeout = duration::max();

    friend bool operator==(const registry_timing&, const registry_timing&) = default;
};

/// For whom a node reads the registry.
enum class reading_role : std::uint8_t {
    /// For itself, in a failure domain whose nodes do not share their reading.
    for_itself,
    /// For nodes that poll it.
    for_others,
    /// For itself, once, since no reader has confirmed what it knows.
    fallback,
};

/// Derives the durations from the bounds.
///
/// A connection can go silent without an error just after a watch began. The watch must then fail
/// early enough to leave time for a second failed attempt before the bounds hold again, so its wait
/// and timeout are fractions of the stable window.
///
/// Instances often start and stop in groups, and each completed watch wakes all nodes, so changes
/// are fetched in batches. A change just after an answer is seen only by the next watch, so the
/// delay is a fraction of the shorter one of the other two bounds. A node that has just started
/// (`is_settling`) uses a shorter delay.
///
/// The other two bounds hold for the nodes that poll a reader also while the reader fails. A reader
/// therefore knows at short intervals whether its copy is current, so that they notice early enough
/// that it has fallen silent (see read_sharing). As a fallback a node asks for the changes up to
/// now and does not wait for later ones.
///
/// With a revocation bound, a node that reads for itself must be confirmed before its copy is too
/// old for requests with keys (see revocation_guard), also if a change arrives at the very end of a
/// watch, which confirms only its start. Watches are therefore fractions of that bound as well, and
/// shorter after changes.
registry_timing registry_timing_for(const registry_bounds& bounds, bool is_settling,
                                    reading_role role = reading_role::for_itself);

/// Returns for how long an entry that is missing from the registry is held, once that answers
/// again. Targets may need this time to renew entries that expired during an outage.
///
/// An instance that has left is missing as well, and its removal is bound like any other from the
/// stable window after the end of the outage. The node knows no more of that end than that it was
/// after the start of the last request that failed, `since_failure` ago.
duration hold_time_for(const registry_bounds& bounds, duration since_failure);

using registry_step = std::variant<read_registry, watch_registry, delay_next_request>;

/// Determines the next request to the registry: a full read, then successive watches. A watch
/// continues from the last revision that contained changes, since an empty answer does not show
/// whether the watch has missed changes. A watch that fails is repeated from the same revision, on
/// which a registry without new changes answers at once. Everything is read again only if the
/// registry has dropped the changes since the revision or its answer cannot be decoded. There is an
/// exponential backoff with jitter, so that not all nodes reconnect to a recovering store at once.
/// It is short while no connection is established, which costs the store nothing.
class registry_follower {
public:
    registry_follower(std::uint64_t seed, registry_timing timing)
        : random_(seed), timing_(timing) {}

    void set_timing(const registry_timing& timing) { timing_ = timing; }

    /// Returns the next step.
    registry_step next_step();

    /// Reports that the last step succeeded. Its answer, empty or not, leads to the revision.
    void record_success(std::uint64_t revision, bool has_events);

    /// Reports that another node has passed on all changes up to the revision.
    void record_relayed(std::uint64_t revision);

    /// Reports that the registry has come back from an older copy. All changes up to the revision
    /// are known; if it is empty, everything has to be read.
    void begin_era(std::optional<std::uint64_t> revision);

    /// Time limit to establish the connection of the next request.
    duration connect_timeout() const {
        return std::min(answer_timeout(), timing_.max_connect_timeout);
    }

    /// Reports that the last step failed.
    void record_failure(registry_error why);

    /// Number of consecutive failures to read or watch the store. A history that is gone does not
    /// count as a failure.
    std::uint32_t failures() const { return failures_; }

    /// True if a failed request was repeated and failed again, so that the registry is unavailable
    /// and not only a connection to it.
    bool is_registry_lost() const { return failures_ > 1; }

private:
    static constexpr duration initial_backoff = 100ms;
    static constexpr duration max_backoff = 600ms;
    static constexpr duration max_backoff_unreachable = 300ms;

    duration backoff();
    duration answer_timeout() const;

    random_source random_;
    registry_timing timing_;
    bool must_delay_watch_ = false;
    bool is_after_changes_ = false;
    std::optional<std::uint64_t> revision_;
    std::uint32_t failures_ = 0;
    registry_error last_error_ = registry_error::unreachable;
    bool has_backed_off_ = false;
};

} // namespace trefoil
