// A small fleet under faults, watched by the oracle.
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

/// The kinds of request that a trial knows.
enum class request_kind : std::uint8_t {
    /// Service a calls b, which calls c; then a calls c. May be repeated.
    read,
    /// Service a calls b, which calls c. Must not be repeated.
    book,
    /// Service a calls b and c at once. The least important.
    fan,
    /// Ends the process of the target at service b.
    crash,
};

inline constexpr request_kind all_kinds[] = {request_kind::read, request_kind::book,
                                             request_kind::fan, request_kind::crash};

std::string_view name_of(request_kind kind);

/// What can be done to the fleet.
enum class command_type : std::uint8_t {
    /// A caller sends a request of kind `y` to node `x`.
    submit,
    /// The caller of submission `x` sends it again to node `y`.
    resend,
    /// The caller of submission `x` closes its connection.
    withdraw,
    /// `x` times 10 ms pass.
    advance,
    /// Domain `x` and domain `y` are cut off from each other; the last domain is the platform.
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
    /// The connections of node `x` are lost.
    reset,
    /// The target of node `x` ends and starts again.
    crash_target,
    /// The target of node `x` computes `y` times as long.
    slow,
    /// The target of node `x` repeats a failed call `y` times.
    app_retries,
    /// The next version of the table is published.
    change_table,
    /// The platform takes mode `x`.
    set_platform,
    /// Control messages are lost, doubled and reordered if `x` is odd, else carried well.
    disturb_control,
    /// `y` requests of the kind fan are sent to node `x` at once.
    surge,
};

inline constexpr std::size_t command_type_count = 20;

std::string_view name_of(command_type type);

/// One step of a trial. Any numbers are valid; they are taken modulo what there is.
struct command {
    command_type type = command_type::advance;
    std::uint32_t x = 0;
    std::uint32_t y = 0;

    friend bool operator==(const command&, const command&) = default;
};

std::string to_string(const command& what);

/// Two instances of each of three services, spread over three failure domains. Deterministic for a
/// seed and the commands.
class trial {
public:
    explicit trial(std::uint64_t seed);

    void run(const command& what);

    /// Ends all faults, waits until the fleet is quiet and checks that it serves again.
    void finish();

    /// Sends a request; returns the submission.
    std::uint64_t submit(const instance_id& node, request_kind kind);
    /// Lets time pass and watches the nodes.
    void advance(duration time);

    virtual_fleet& fleet() { return fleet_; }
    std::uint64_t last_submission() const { return last_submission_; }
    const std::vector<instance_id>& nodes() const { return nodes_; }
    const std::string& body_of(std::uint64_t submission) const;
    bool has_ended(std::uint64_t submission) const;
    /// What the caller of a submission was told with status 200.
    bool is_answered(std::uint64_t submission) const;
    const std::vector<violation>& violations() const { return oracle_.violations(); }
    /// Commands, runs and ends, one a line.
    const std::vector<std::string>& log() const { return log_; }

    /// Called at every start of work, after the oracle was told.
    void observe_runs(virtual_fleet::run_observer observer) { on_run_ = std::move(observer); }
    /// Called at every action of a node, after the oracle was told.
    void observe_actions(virtual_fleet::action_observer observer) {
        on_action_ = std::move(observer);
    }

    /// Time that finish() gives the fleet to become quiet; above the greatest deadline.
    static constexpr duration quiet_time = 6s;
    /// Time within which all nodes hold what was published after the end of all faults.
    static constexpr duration agreement_time = 5s;

private:
    struct request_record {
        request_kind kind = request_kind::read;
        instance_id node;
        std::string body;
        std::string key;
        bool has_ended = false;
        bool is_answered = false;
        /// Requests for a key that its caller has followed.
        int keys_taken = 0;
    };

    void send(std::uint64_t submission);
    void on_told(std::uint64_t submission, const caller_result& result);
    void resend(std::uint32_t which, const instance_id& node);
    void publish_table();
    void watch();
    void watch_leaving();
    bool hears_platform(const instance_id& node) const;
    void note(std::string line);
    void end_faults();
    void start_stopped();
    void check_agreement();
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
