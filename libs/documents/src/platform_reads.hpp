// Scheduling of a node's reads of one document from the platform.
#pragma once

#include <cstdint>
#include <optional>

#include <trefoil/base/random.hpp>
#include <trefoil/documents/document_exchange.hpp>

#include "reader_election.hpp"

namespace trefoil {

/// Calls per second that the platform can answer, summed over all nodes.
inline constexpr double platform_calls_per_second = 2000;
/// Share of these calls that is left to off-duty nodes, that is, nodes that are neither readers nor
/// standbys or that hold no document. They read after a start, or when they are isolated from all
/// other nodes.
inline constexpr double off_duty_share = 0.2;

/// Identifies a text that was refused, so that it is not read again in a loop.
struct refused_text {
    revision at;
    std::uint64_t hash = 0;

    friend bool operator==(const refused_text&, const refused_text&) = default;
};

/// Inputs of the schedule besides its own state.
struct read_conditions {
    /// Revision that the node holds; 0 if none.
    revision held;
    /// When the platform last confirmed the held revision, as observed by this node's own read or
    /// reported by another node.
    time_point confirmed_at;
    /// Rank of the node in the reader election of its failure domain, from 0.
    std::size_t rank = 0;
    /// Number of nodes that may read at the same time as this one.
    std::size_t nodes = 1;
    /// See exchange_mechanisms::shared_reads.
    bool shared_reads = true;
};

/// Schedules the reads of one document. Readers keep one long-polling read in flight. Standbys
/// start to read, one after the other, when the document has not been confirmed for a while. All
/// other nodes read only when it has not been confirmed for a long time, or when they hold no
/// document, and then so rarely that the sum over the fleet stays below off_duty_share of the
/// platform's call rate.
class platform_read_scheduler {
public:
    platform_read_scheduler(document_id document, std::uint64_t seed)
        : document_(document), random_(seed) {}

    /// Schedules the first read at a random time, so that nodes that start together spread their
    /// reads.
    void start(time_point now, std::size_t nodes);

    bool is_in_flight() const { return is_in_flight_; }
    /// True if the last read failed.
    bool is_down() const { return is_down_; }
    /// Time at which the next read is due; nothing while one is in flight.
    std::optional<time_point> due(const read_conditions& conditions) const;
    /// Marks a read as in flight and returns it.
    platform_read start_read(time_point now, const read_conditions& conditions);

    /// Handles a usable answer, or the answer that no newer version exists. Returns true if the
    /// platform was down before.
    bool on_answer(time_point now);
    /// Handles a missing answer, or one that is older than the held revision. Returns true if the
    /// platform was up before.
    bool on_failure(time_point now, const read_conditions& conditions);
    /// Records a text that must not come into force.
    void on_refused(time_point now, refused_text text);
    /// Clears the refused text after another one was accepted.
    void on_accepted() { refused_.reset(); }
    const std::optional<refused_text>& last_refused() const { return refused_; }

private:
    duration jittered(duration mean);

    document_id document_;
    random_source random_;
    bool is_in_flight_ = false;
    bool is_down_ = false;
    time_point not_before_;
    duration retry_delay_{0};
    std::optional<refused_text> refused_;
    duration reread_delay_{0};
    time_point reread_at_;
};

} // namespace trefoil
