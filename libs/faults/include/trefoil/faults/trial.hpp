// A small fleet with injected faults, checked by the oracle.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <trefoil/emulator/virtual_fleet.hpp>
#include <trefoil/faults/oracle.hpp>

namespace trefoil {

/// The kinds of request in a trial.
enum class request_kind : std::uint8_t {
    /// Service a calls b, which calls c; then a calls c. May be retried.
    read,
    /// Service a calls b, which calls c. Must not be retried.
    book,
    /// Service a calls b and c in parallel. Has the lowest priority.
    fan,
    /// Crashes the target of service b that runs it.
    crash,
};

inline constexpr request_kind all_kinds[] = {request_kind::read, request_kind::book,
                                             request_kind::fan, request_kind::crash};

std::string_view name_of(request_kind kind);

/// Types of command that act on the fleet.
enum class command_type : std::uint8_t {
    /// A caller sends a request of kind `y` to node `x`.
    submit,
    /// The caller of submission `x` sends it again to node `y`.
    resend,
    /// The caller of submission `x` closes its connection.
    withdraw,
    /// Advances the clock by `x` times 10 ms.
    advance,
    /// Domains `x` and `y` are partitioned from each other; the last domain is the platform.
    cut,
    heal,
    pause,
    resume,
    kill,
    restart,
    /// SIGTERM to node `x`.
    stop,
    /// The platform lists node `x` as leaving.
    list_leaving,
    /// All connections of node `x` are dropped.
    reset,
    /// The target of node `x` crashes and starts again.
    crash_target,
    /// Computations of the target of node `x` take `y` times as long.
    slow,
    /// The target of node `x` retries a failed child call up to `y` modulo 4 times.
    app_retries,
    /// The next version of the table is published.
    change_table,
    /// The platform changes to mode `x`, see platform_mode.
    set_platform,
    /// If `x` is odd, control messages are lost, duplicated and reordered; otherwise they are
    /// delivered reliably.
    disturb_control,
    /// Callers send `y` requests of the kind fan to node `x` at the same time.
    surge,
};

inline constexpr std::size_t command_type_count = 20;

std::string_view name_of(command_type type);

/// One step of a trial. All numbers are valid; an index is taken modulo the number of items.
struct command {
    command_type type = command_type::advance;
    std::uint32_t x = 0;
    std::uint32_t y = 0;

    friend bool operator==(const command&, const command&) = default;
};

std::string to_string(const command& what);

/// Runs commands on a fleet with two instances of each of three services, spread over three failure
/// domains, and checks the invariants. Deterministic for a seed and the commands.
class trial {
public:
    explicit trial(std::uint64_t seed);

    /// Runs one command.
    void run(const command& what);

    /// Ends all faults, waits until nothing is in flight, restarts stopped nodes, and checks that
    /// the nodes converge and the fleet serves requests again.
    void finish();

    /// Sends a request to a node and returns the id of the submission.
    std::uint64_t submit(const instance_id& node, request_kind kind);
    /// Advances the clock and checks the state of the nodes every 50 ms.
    void advance(duration time);

    virtual_fleet& fleet() { return fleet_; }
    std::uint64_t last_submission() const { return last_submission_; }
    const std::vector<instance_id>& nodes() const { return nodes_; }
    const std::string& body_of(std::uint64_t submission) const;
    bool has_ended(std::uint64_t submission) const;
    /// True if the submission ended with status 200.
    bool is_answered(std::uint64_t submission) const;
    const std::vector<violation>& violations() const { return oracle_.violations(); }
    /// Log lines of the commands, runs and results.
    const std::vector<std::string>& log() const { return log_; }

    /// Sets a callback for each start of work, called after the oracle has recorded it.
    void observe_runs(virtual_fleet::run_observer observer) { on_run_ = std::move(observer); }
    /// Sets a callback for each action of a node, called after the oracle has recorded it.
    void observe_actions(virtual_fleet::action_observer observer) {
        on_action_ = std::move(observer);
    }

    /// Time that finish() waits until nothing is in flight; longer than the longest deadline.
    static constexpr duration quiet_time = 6s;
    /// Time within which all nodes must hold the documents published after all faults have ended:
    /// the bound for a configuration change. A rejected text is read again at most 15 s later.
    static constexpr duration agreement_time = 20s;

private:
    struct request_record {
        request_kind kind = request_kind::read;
        instance_id node;
        std::string body;
        std::string key;
        bool has_ended = false;
        bool is_answered = false;
        /// Number of times that the caller has sent the request again with an issued key.
        int key_resends = 0;
    };

    void send(std::uint64_t submission);
    void on_result(std::uint64_t submission, const caller_result& result);
    void resend(std::uint32_t which, const instance_id& node);
    void publish_table();
    void check_nodes();
    void update_leaving();
    bool is_platform_reachable(const instance_id& node) const;
    void append_log(std::string line);
    void clear_faults();
    void restart_stopped_nodes();
    void check_convergence();
    void check_recovery();
    const instance_id& node(std::uint32_t index) const { return nodes_[index % nodes_.size()]; }

    virtual_fleet fleet_;
    oracle oracle_;
    std::vector<instance_id> nodes_;
    std::vector<std::string> domains_;
    std::map<instance_id, std::string> domain_of_;
    std::map<std::uint64_t, request_record> requests_;
    std::uint64_t last_submission_ = 0;
    std::set<instance_id> listed_leaving_;
    std::set<instance_id> stopping_;
    std::set<instance_id> paused_;
    std::set<std::string> cut_from_platform_;
    std::map<instance_id, std::uint64_t> runs_of_node_;
    platform_mode mode_ = platform_mode::serving;
    std::uint32_t table_version_ = 0;
    std::vector<std::string> log_;
    virtual_fleet::run_observer on_run_;
    virtual_fleet::action_observer on_action_;
};

} // namespace trefoil
