// Fleet of real node cores on a simulated network.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <trefoil/core/node_core.hpp>
#include <trefoil/emulator/fake_target.hpp>
#include <trefoil/emulator/scheduler.hpp>

namespace trefoil {

/// Latencies and faults of the simulated network. Loss, duplication and jitter apply only to
/// control messages. Calls run over connections, which work, are lost, or deliver nothing because
/// of a partition.
struct network_settings {
    duration same_domain_latency = 100us;
    duration other_domain_latency = 1ms;
    duration other_region_latency = 10ms;
    /// One-way latency between callers and nodes.
    duration caller_latency = 8ms;
    /// Time from a read of a platform document until the platform handles it.
    duration platform_latency = 2ms;
    /// Time after which connecting to a partitioned domain fails.
    duration connect_timeout = 200ms;
    /// Probability that a copy of a control message is lost.
    double control_loss = 0;
    /// Probability that a control message is sent twice.
    double control_duplicates = 0;
    /// Upper bound of the uniformly distributed extra delay of control messages. The delay
    /// reorders them.
    duration control_jitter{0};
};

/// Behaviour of the simulated platform: it serves the current documents, is unreachable, times
/// out, serves the previous revision, or serves invalid text under a new revision.
enum class platform_mode : std::uint8_t { serving, down, hanging, stale, garbage };

/// Settings of one node and its target.
struct fleet_member {
    core_settings core;
    target_settings target;
};

/// Result of a request as its caller sees it.
struct caller_result {
    /// HTTP status, or 0 without a response, for instance after a crash of the node.
    int status = 0;
    answer_info info;
    std::string body;
    std::string idempotency_key;
    time_point sent;
    time_point ended;
};

/// Runs real node cores with simulated targets, network and platform on a virtual clock, so that
/// faults can be injected at exact times. The run is deterministic for a given seed.
class virtual_fleet {
public:
    using caller_done = std::function<void(const caller_result&)>;
    /// Called when a target starts work on a request.
    using run_observer =
        std::function<void(const instance_id&, const http_request&, const call_context&)>;
    /// Called for each action of a core, before it is performed.
    using action_observer = std::function<void(const instance_id&, const action&)>;
    /// Called for each child call that a target sends to its node.
    using call_observer =
        std::function<void(const instance_id&, const request_ptr&, const call_context&)>;

    virtual_fleet(network_settings network, fake_target::work_of work, std::uint64_t seed);
    ~virtual_fleet();

    scheduler& clock() { return clock_; }
    network_settings& network() { return network_; }
    void observe_runs(run_observer observer) { run_observer_ = std::move(observer); }
    void observe_actions(action_observer observer) { action_observer_ = std::move(observer); }
    void observe_calls(call_observer observer) { call_observer_ = std::move(observer); }

    /// Adds a node and starts it.
    void add(fleet_member member);
    std::vector<instance_id> instances() const;
    node_core& core(const instance_id& instance);
    fake_target& target(const instance_id& instance);
    bool is_running(const instance_id& instance) const;

    /// Publishes a document under the next revision.
    void publish(document_id document, std::string text);
    /// Publishes the list of all running nodes. Those in `leaving` are listed as leaving.
    void publish_members(const std::set<instance_id>& leaving = {});
    void set_platform(platform_mode mode) { platform_mode_ = mode; }
    /// Number of document reads that nodes have requested.
    std::uint64_t platform_calls() const { return platform_calls_; }
    /// Revision of the published document, or the zero revision if there is none.
    revision published(document_id document) const;

    /// Sends a caller's request to a node. `done` is called at most once, and never after
    /// withdraw(). Returns the id of the submission.
    std::uint64_t submit(const instance_id& node, http_request request, caller_done done);
    /// Closes the caller's connection. Does nothing if the submission has ended.
    void withdraw(std::uint64_t submission);

    /// Partitions two failure domains from each other. `platform_domain` stands for the platform.
    void cut(const std::string& one, const std::string& other);
    /// Ends the partition between two failure domains.
    void heal(const std::string& one, const std::string& other);
    void heal_all() { partitions_.clear(); }
    /// Pauses the node's process. Events that arrive are buffered until resume().
    void pause(const instance_id& instance);
    void resume(const instance_id& instance);
    /// Ends the node's process without a graceful stop. All its connections are lost.
    void kill(const instance_id& instance);
    /// Starts a new incarnation of the node, after killing it if it is running.
    void restart(const instance_id& instance);
    /// Requests a graceful stop, like SIGTERM.
    void stop(const instance_id& instance);
    /// Drops all connections of the node in both directions. Its process and target keep running.
    void reset_connections(const instance_id& instance);
    /// Number of calls that were still open when their node exited after a graceful stop.
    std::uint64_t aborted_by_exit() const { return aborted_by_exit_; }

    static constexpr const char* platform_domain = "platform";

private:
    struct node;
    struct wire_call;
    using node_ptr = std::shared_ptr<node>;
    using wire_call_ptr = std::shared_ptr<wire_call>;

    void start_core(const node_ptr& at);
    void deliver(const node_ptr& at, std::uint64_t run, event what);
    void step(const node_ptr& at, const event& what);
    void perform(const node_ptr& at, const actions& todo);
    void perform(const node_ptr& at, const send_response& what);
    void perform(const node_ptr& at, const start_attempt& what);
    void perform(const node_ptr& at, const cancel_attempt& what);
    void perform(const node_ptr& at, const arm_timer& what);
    void perform(const node_ptr& at, const platform_read& what);
    void perform(const node_ptr& at, const send_control& what);
    void perform(const node_ptr& at, const exit_process& what);
    void send_to_peer(const node_ptr& from, const start_attempt& what, const instance_id& to);
    /// Schedules the end of an attempt that has no response within its timeout, like the shell
    /// of the node.
    void schedule_timeout(const node_ptr& from, const start_attempt& what);
    void send_to_target(const node_ptr& at, const start_attempt& what);
    void call_from_target(const node_ptr& at, request_ptr request, const call_context& context,
                          fake_target::call_done done);
    void answer_platform_read(const node_ptr& at, std::uint64_t run, const platform_read& what);
    void drop_connections(const node_ptr& at);
    duration latency(const node& from, const node& to) const;
    bool is_partitioned(const std::string& one, const std::string& other) const;
    bool is_partitioned(const node& one, const node& other) const;

    struct published_document {
        revision at;
        std::string text;
        std::string previous;
    };

    scheduler clock_;
    network_settings network_;
    fake_target::work_of work_of_;
    random_source random_;
    run_observer run_observer_;
    action_observer action_observer_;
    call_observer call_observer_;
    std::map<instance_id, node_ptr> nodes_;
    std::map<document_id, published_document> documents_;
    platform_mode platform_mode_ = platform_mode::serving;
    std::uint64_t platform_calls_ = 0;
    std::uint64_t aborted_by_exit_ = 0;
    std::set<std::pair<std::string, std::string>> partitions_;
    std::uint64_t next_submission_ = 0;
    std::unordered_map<std::uint64_t, wire_call_ptr> submissions_;
};

} // namespace trefoil
