// A log that never blocks and whose volume is bounded.
#pragma once

#include <array>
#include <cstdint>
#include <string>

#include <trefoil/base/log.hpp>
#include <trefoil/base/time.hpp>

namespace trefoil {

/// What a record is worth when there are more than may be written.
enum class log_class : std::uint8_t {
    /// Changes of what the process believes; start, stop, reload.
    state,
    /// Requests that were refused, failed or late.
    trouble,
    /// Requests that were served well; a sample is enough.
    routine,
};

/// Most records of each class in a second.
struct log_rates {
    std::uint32_t state = 200;
    std::uint32_t trouble = 150;
    std::uint32_t routine = 5;

    friend bool operator==(const log_rates&, const log_rates&) = default;
};

/// Collects lines and writes them to a file descriptor when it takes them. Records above their
/// class's rate, and lines that nobody reads for long, are counted and reported as dropped.
class log_queue {
public:
    /// The descriptor is made non-blocking.
    log_queue(int descriptor, log_rates rates);

    /// True if a record of the class may be written now; it is counted as dropped otherwise. Lets a
    /// caller avoid composing a record that would be dropped.
    bool admits(time_point now, log_class kind);

    /// Adds a record that admits() let through.
    void add(const log_record& record);

    /// Writes what the descriptor takes.
    void flush(time_point now);

private:
    static constexpr std::size_t classes = 3;
    /// Unwritten bytes that are held at most.
    static constexpr std::size_t max_held_bytes = 256U << 10U;

    std::uint32_t rate_of(log_class kind) const;

    int descriptor_;
    log_rates rates_;
    std::string held_;
    time_point second_began_;
    std::array<std::uint32_t, classes> in_second_{};
    std::uint64_t dropped_ = 0;
    std::uint64_t reported_ = 0;
};

} // namespace trefoil
