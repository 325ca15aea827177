// Keeps a proxy's view of the registry current, from the registry itself or from other nodes.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <trefoil/http1/loop_timer.hpp>
#include <trefoil/http1/server.hpp>
#include <trefoil/proxy/read_sharing.hpp>
#include <trefoil/proxy/registry.hpp>
#include <trefoil/proxy/registry_follower.hpp>

#include "proxy_state.hpp"
#include "registry_poll_server.hpp"
#include "registry_poller.hpp"
#include "registry_view.hpp"

namespace trefoil {

/// Requests that a node has made and answered to follow the registry.
struct registry_counts {
    /// Reads and watches of the registry.
    std::uint64_t requests = 0;
    /// Polls sent to other nodes.
    std::uint64_t polls_sent = 0;
    /// Polls received from other nodes.
    std::uint64_t polls_received = 0;

    friend bool operator==(const registry_counts&, const registry_counts&) = default;
};

/// Carries out what the registry follower and the reading policy decide: reads and watches of the
/// registry, polls of other nodes, and answers to theirs.
class registry_sync {
public:
    registry_sync(proxy_state& state, registry_client& client, std::uint64_t seed);
    registry_sync(const registry_sync&) = delete;
    registry_sync& operator=(const registry_sync&) = delete;

    /// Looks up the nodes that may be polled, then reads or polls.
    void start() { list_nodes(); }

    /// Handles the poll of another node.
    void serve_poll(const std::shared_ptr<http1::served_request>& request);

    /// Housekeeping, to be called a few times a second.
    void run_housekeeping();

    /// Refuses polls from now on, so that the nodes that poll this one turn to others at once.
    void stop_serving_polls() { poll_server_.close(); }

    /// True once the configuration and the instances have been read completely.
    bool has_read() const { return has_read_; }

    /// Time since the view was last known to be current, or since the start if that is later.
    duration staleness() const;

    /// Time since the view was last known to be current; the maximum before the first read. What a
    /// node gets at its start may be older than the node.
    duration copy_age() const;

    /// Counters since the start of the node.
    const registry_counts& counts() const { return counts_; }

private:
    /// The request to the registry that is in progress.
    struct pending_request {
        /// `read` or `watch`, for the log.
        std::string_view call = "read";
        time_point started;
    };

    /// A poll that has been sent.
    struct sent_poll {
        time_point at;
        /// What was known then.
        registry_position after;
    };

    /// Looks up the nodes that may be polled. The list is empty for a moment if the whole fleet
    /// starts; then it is read again until it no longer grows, or until this node has to read for
    /// itself.
    void list_nodes();
    /// Sets the nodes of the list as those that may be polled. Returns true if the list has to be
    /// read again.
    bool take_list(const registry_result& listed);
    void continue_after_pause();
    void step();
    void pause(duration delay);
    void read_config(duration answer_timeout);
    void read_instances(duration answer_timeout, registry_changes config);
    void watch(const watch_registry& next);
    void note_request(std::string_view call);
    /// Returns the records of a result. An error is reported to the follower and yields nothing.
    std::optional<registry_changes> accept_result(registry_result result);
    /// Reads everything again, since the registry has come back from an older copy.
    void begin_era();
    /// Logs that the registry answers from another era than before.
    void log_era(const registry_changes& changes);
    /// Merges a difference that was current at the given time.
    void merge(registry_difference difference, std::string_view call, time_point started,
               time_point confirmed_at);
    void handle_failure(registry_error why);
    void handle_success();
    /// Ends an outage: entries that are missing are held for a while from now on.
    void end_outage();

    void poll();
    void handle_poll_answer(const std::string& reader, const sent_poll& poll_sent,
                            std::optional<registry_poll_answer> answer);
    /// True if the difference follows on what is known and leads on from there.
    bool is_mergeable(const registry_difference& difference,
                      const registry_position& polled_from) const;
    void log_reader(const std::string& reader);

    void update_bounds();
    void update_nodes();
    replica_state state_for_polls() const;
    reading_role role() const;

    proxy_state& state_;
    registry_client& client_;
    time_point started_;
    registry_view view_;
    registry_follower follower_;
    read_sharing sharing_;
    registry_poll_server poll_server_;
    registry_poller poller_;
    bool has_read_ = false;
    /// True until the nodes that may be polled have been looked up.
    bool is_listing_ = true;
    /// Number of nodes in the last list; empty before the first.
    std::optional<std::size_t> listed_nodes_;
    bool is_requesting_ = false;
    /// True during a pause that the follower has asked for.
    bool is_pausing_ = false;
    bool is_outage_logged_ = false;
    pending_request request_;
    /// Requests to the registry that have failed since the last answer.
    std::uint32_t failures_ = 0;
    /// Start of the last request to the registry that failed, of this node or of its reader: the
    /// nodes of a domain are cut off together, and those that poll make few requests of their own.
    time_point last_failure_began_;
    registry_counts counts_;
    /// Era of the registry's last answer, for the log.
    std::uint64_t logged_era_ = 0;
    /// The node that was polled last, for the log.
    std::string logged_reader_;
    /// Time of the last merge, for the log.
    time_point last_merge_;
    /// Fires at the end of a pause between two steps.
    http1::loop_timer timer_;
    /// Fires when the time to hold missing entries is over.
    http1::loop_timer hold_timer_;
};

} // namespace trefoil
