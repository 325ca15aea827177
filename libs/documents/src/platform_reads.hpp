// When a node reads one document from the platform.
#pragma once

#include <cstdint>
#include <optional>

#include <trefoil/base/random.hpp>
#include <trefoil/documents/document_exchange.hpp>

#include "reader_duty.hpp"

namespace trefoil {

/// Calls a second that the platform answers, over all readers.
inline constexpr double platform_calls_per_second = 2000;
/// Share of them that nodes take that are not on duty: at a start, or cut off from all others.
inline constexpr double undutied_share = 0.2;

/// A text that was refused; it is not read again in a loop.
struct refused_text {
    revision at;
    std::uint64_t hash = 0;

    friend bool operator==(const refused_text&, const refused_text&) = default;
};

/// What the schedule depends on besides its own state.
struct read_situation {
    revision held;
    /// When the platform's state was last confirmed, by this node's own read or by word of others.
    time_point confirmed;
    std::size_t rank = 0;
    /// Nodes that may be reading at the same time as this one.
    std::size_t nodes = 1;
    bool shared_reads = true;
};

/// Schedules reads. Readers keep one read waiting at the platform; standbys step in one after the
/// other once no word of a read has come for a while; all other nodes read only when they have
/// heard nothing for long, or hold nothing, and then so seldom that the sum over the fleet stays
/// below undutied_share of the platform's rate.
class platform_reads {
public:
    platform_reads(document_id document, std::uint64_t seed) : document_(document), random_(seed) {}

    /// Places the first read at a random point in time.
    void start(time_point now, std::size_t nodes);

    bool is_open() const { return is_open_; }
    bool is_down() const { return is_down_; }
    /// When the next read is due; nothing while one is open.
    std::optional<time_point> due(const read_situation& situation) const;
    platform_read open(time_point now, const read_situation& situation);

    /// An answer that can be used, or that nothing is newer. True if the platform was down before.
    bool answered(time_point now);
    /// No answer, or one that is older than what is held. True if the platform was up before.
    bool failed(time_point now, const read_situation& situation);
    /// The text can't come into force.
    void refused(time_point now, refused_text what);
    /// A text came into force.
    void accepted() { refused_.reset(); }
    const std::optional<refused_text>& last_refused() const { return refused_; }

private:
    duration jittered(duration mean);

    document_id document_;
    random_source random_;
    bool is_open_ = false;
    bool is_down_ = false;
    time_point not_before_;
    duration retry_delay_{0};
    std::optional<refused_text> refused_;
    duration reread_delay_{0};
    time_point reread_at_;
};

} // namespace trefoil
