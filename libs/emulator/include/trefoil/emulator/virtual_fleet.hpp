// Real cores on a network that is made of scheduled events.
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

/// Latencies and faults of the network. Loss, delay and doubling act on control messages; calls run
/// over connections, which are either whole, lost or silent.
struct network_settings {
    duration same_domain_latency = 100us;
    duration other_domain_latency = 1ms;
    duration other_region_latency = 10ms;
    duration caller_latency = 8ms;
    duration platform_latency = 2ms;
    /// How long a sender waits for a connection into a domain that is cut off.
    duration connect_timeout = 200ms;
    double control_loss = 0;
    double control_duplicates = 0;
    /// Further random delay of control messages; it reorders them.
    duration control_jitter{0};
};

/// How the platform's stand-in answers.
enum class platform_mode : std::uint8_t { serving, down, hanging, stale, garbage };

/// One node with its target.
struct fleet_member {
    core_settings core;
    target_settings target;
};

/// What a caller was told.
struct caller_result {
    /// 0 if nothing was heard, as after the loss of the node.
    int status = 0;
    answer_info info;
    std::string body;
    std::string idempotency_key;
    time_point sent;
    time_point ended;
};

/// A fleet of cores under a paused clock. Deterministic for a seed.
class virtual_fleet {
public:
    using caller_done = std::function<void(const caller_result&)>;
    /// Told of every start of work at a target.
    using run_observer =
        std::function<void(const instance_id&, const http_request&, const call_context&)>;
    /// Told of every action of a core.
    using action_observer = std::function<void(const instance_id&, const action&)>;
    /// Told of every call that a target makes by its node.
    using call_observer =
        std::function<void(const instance_id&, const request_ptr&, const call_context&)>;

    virtual_fleet(network_settings network, fake_target::work_of work, std::uint64_t seed);
    ~virtual_fleet();

    scheduler& clock() { return clock_; }
    network_settings& network() { return network_; }
    void observe_runs(run_observer observer) { run_observer_ = std::move(observer); }
    void observe_actions(action_observer observer) { action_observer_ = std::move(observer); }
    void observe_calls(call_observer observer) { call_observer_ = std::move(observer); }

    /// Adds a node; it starts at once.
    void add(fleet_member member);
    std::vector<instance_id> instances() const;
    node_core& core(const instance_id& instance);
    fake_target& target(const instance_id& instance);
    bool is_running(const instance_id& instance) const;

    /// Publishes a document at the next revision.
    void publish(document_id document, std::string text);
    /// Publishes the list of all running nodes, those in `leaving` marked.
    void publish_members(const std::set<instance_id>& leaving = {});
    void set_platform(platform_mode mode) { platform_mode_ = mode; }
    std::uint64_t platform_calls() const { return platform_calls_; }
    revision published(document_id document) const;

    /// Sends a caller's request to a node. `done` is called once, unless the caller withdraws.
    std::uint64_t submit(const instance_id& node, http_request request, caller_done done);
    /// The caller closes its connection.
    void withdraw(std::uint64_t submission);

    /// Cuts two failure domains off from each other; `platform_domain` names the platform.
    void cut(const std::string& one, const std::string& other);
    void heal(const std::string& one, const std::string& other);
    void heal_all() { cuts_.clear(); }
    /// The node's process stands still; what arrives meanwhile waits.
    void pause(const instance_id& instance);
    void resume(const instance_id& instance);
    /// The node's process is gone without a word.
    void kill(const instance_id& instance);
    /// A new run of the node.
    void restart(const instance_id& instance);
    /// SIGTERM.
    void stop(const instance_id& instance);
    /// Every connection of the node is lost, in both directions; its process and target live on.
    void reset_connections(const instance_id& instance);
    /// Requests that nodes cut off by their own exit after a stop.
    std::uint64_t cut_by_exit() const { return cut_by_exit_; }

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
    void perform(const node_ptr& at, const respond& what);
    void perform(const node_ptr& at, const start_attempt& what);
    void perform(const node_ptr& at, const cancel_attempt& what);
    void perform(const node_ptr& at, const arm_timer& what);
    void perform(const node_ptr& at, const platform_read& what);
    void perform(const node_ptr& at, const send_control& what);
    void perform(const node_ptr& at, const exit_process& what);
    void send_to_peer(const node_ptr& from, const start_attempt& what, const instance_id& to);
    /// Ends an attempt that has no answer within its timeout, as the shell does.
    void time_out_later(const node_ptr& from, const start_attempt& what);
    void send_to_target(const node_ptr& at, const start_attempt& what);
    void call_from_target(const node_ptr& at, request_ptr request, const call_context& context,
                          fake_target::call_done done);
    void answer_read(const node_ptr& at, std::uint64_t run, const platform_read& what);
    void drop_connections(const node_ptr& at);
    duration latency(const node& from, const node& to) const;
    bool is_cut(const std::string& one, const std::string& other) const;
    bool is_cut(const node& one, const node& other) const;

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
    std::uint64_t cut_by_exit_ = 0;
    std::set<std::pair<std::string, std::string>> cuts_;
    std::uint64_t next_submission_ = 0;
    std::unordered_map<std::uint64_t, wire_call_ptr> submissions_;
};

} // namespace trefoil
