// Decides whether what is known of the keys is recent enough to admit a request with a key.
#pragma once

#include <optional>

#include <trefoil/base/time.hpp>

namespace trefoil {

/// A request that is sent later than the revocation bound after its key was taken away must not run
/// anywhere, whatever the node has heard. So a node admits requests with keys only while its copy
/// of the configuration is known to have been current within the bound.
///
/// The age of the copy counts from when the registry was asked, on a clock that also counts while
/// the machine is suspended. An empty answer to a watch counts from the end of its wait, though a
/// registry may cut that short; the guard therefore adds the longest wait to each age.
///
/// It is enough to ask the guard when a request arrives: a request that was sent before and waits
/// in a queue later was sent within the bound.
class revocation_guard {
public:
    /// Without a bound, the age doesn't matter.
    revocation_guard() = default;
    revocation_guard(duration bound, duration longest_watch);

    /// True if requests with keys may be admitted on a copy that was last known to be current this
    /// long ago.
    bool admits(duration copy_age) const { return !max_age_ || copy_age < *max_age_; }

    /// Oldest copy on which requests with keys are admitted; empty if there is no bound.
    std::optional<duration> max_age() const { return max_age_; }

private:
    std::optional<duration> max_age_;
};

} // namespace trefoil
