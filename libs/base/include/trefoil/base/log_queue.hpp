// Non-blocking log output with rate limits.
#pragma once

#include <array>
#include <cstdint>
#include <string>

#include <trefoil/base/log.hpp>
#include <trefoil/base/time.hpp>

namespace trefoil {

/// Classes of log records, each with its own rate limit.
enum class log_class : std::uint8_t {
    /// Changes of state, for instance start, stop and reload.
    state_change,
    /// Requests that were refused, failed or finished late.
    failure,
    /// Requests that were served successfully. Records above the rate are not reported as dropped,
    /// because a sample is enough.
    success,
};

/// Maximum number of records per second for each class.
struct log_rates {
    std::uint32_t state_change = 200;
    std::uint32_t failure = 150;
    std::uint32_t success = 5;

    friend bool operator==(const log_rates&, const log_rates&) = default;
};

/// Buffers log lines and writes them to a non-blocking file descriptor, so that a slow reader of
/// the log doesn't block the process. Records above the rate of their class, and records that
/// arrive while the buffer is full, are dropped. Their number is logged as log_lines_dropped; it
/// does not include records of successful requests above the rate.
class log_queue {
public:
    /// Sets the descriptor to non-blocking mode.
    log_queue(int descriptor, log_rates rates);

    /// Counts a record of the class against its rate. Returns false if the rate is reached: the
    /// record is dropped, and the caller need not compose it. Dropped records of successful
    /// requests are not counted.
    bool try_reserve(time_point now, log_class kind);

    /// Appends a record for which admits() returned true. It is dropped if the buffer is full.
    void add(const log_record& record);

    /// Writes buffered lines until the buffer is empty or the descriptor accepts no more data.
    void flush(time_point now);

private:
    static constexpr std::size_t class_count = 3;
    /// No record is appended once the buffer holds more bytes than this.
    static constexpr std::size_t max_buffered_bytes = 256U << 10U;

    std::uint32_t rate_of(log_class kind) const;

    int descriptor_;
    log_rates rates_;
    std::string buffer_;
    time_point window_start_;
    std::array<std::uint32_t, class_count> records_in_window_{};
    std::uint64_t dropped_ = 0;
    std::uint64_t reported_dropped_ = 0;
};

} // namespace trefoil
