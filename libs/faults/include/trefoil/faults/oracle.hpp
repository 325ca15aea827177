// Checks the invariants of the fleet against the runs at targets and the results at callers.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>
#include <trefoil/core/actions.hpp>
#include <trefoil/emulator/virtual_fleet.hpp>

namespace trefoil {

/// Properties that hold in every run, whatever faults occur.
enum class invariant : std::uint8_t {
    /// No target ran a request whose result is not_run.
    not_run_is_true,
    /// A response with status 200 is complete and belongs to the request.
    answer_is_whole_and_own,
    /// A request whose kind must not be retried runs at most once at each service.
    at_most_once,
    /// Retries of one whole request, summed over all layers, stay within its table row's number.
    retries_are_bounded,
    /// A leaving target starts no new work after leaving_limit.
    leaving_gets_no_work,
    /// A graceful stop aborts no request.
    stop_cuts_nothing,
    /// The document revision that a node holds never decreases within one run of the node.
    revisions_never_fall,
    /// After all faults have ended, every node holds the published documents.
    nodes_agree,
    /// Each submission gets exactly one result, unless its caller withdraws it.
    one_end_each,
    /// After all faults have ended, the fleet serves requests again.
    service_recovers,
    /// A node holds no call when nothing is in flight, and a stopped node has exited.
    nothing_is_left,
};

/// All invariants, in the order of their declaration.
const std::vector<invariant>& all_invariants();
std::string_view name_of(invariant value);

/// One violation of an invariant.
struct violation {
    invariant broken = invariant::not_run_is_true;
    std::string detail;

    friend bool operator==(const violation&, const violation&) = default;
};

/// Longest allowed time from listing or announcing a target as leaving to its last start of work.
inline constexpr duration leaving_limit = 3s;

/// Expected results of a request. The body identifies the request.
struct expected_request {
    std::string body;
    /// All bodies that are complete responses.
    std::set<std::string> answers;
    /// True if the request must not be retried.
    bool once = false;
    /// Retries that the request's table row allows.
    std::uint32_t retries = 0;

    friend bool operator==(const expected_request&, const expected_request&) = default;
};

/// Test oracle: counts runs and results, and records the violations. It observes only targets,
/// callers and the actions of nodes, so it is independent of how nodes decide.
class oracle {
public:
    using submission_id = std::uint64_t;

    /// Records that a caller sent a request. Sending it again is a separate submission.
    void record_submission(submission_id submission, const expected_request& request);
    /// Records that the caller closed its connection.
    void record_withdrawal(submission_id submission);
    /// Records and checks the result that the caller received.
    void record_result(submission_id submission, const caller_result& result);

    /// Records and checks the start of work on a request at a target.
    void record_run(time_point now, const instance_id& at, const service_name& service,
                    const std::string& body);
    /// Records a child call that a target made while working on the request of the context.
    void record_child_call(const request_ptr& request, const call_context& parent);
    /// Records an action of a node and counts the retries.
    void record_action(const instance_id& node, const action& what);

    /// Sets the time since which the target is leaving according to the information that its node
    /// can have. An earlier time is kept; nullopt clears it.
    void set_leaving(const instance_id& instance, std::optional<time_point> since);
    /// Reports the total number of requests aborted by node exits so far.
    void record_aborted_by_exit(std::uint64_t count);
    /// Records the revision that a node holds in its given run.
    void record_revision(const instance_id& node, std::uint64_t run, document_id document,
                         revision held);

    /// Checks the invariants that hold only when nothing is in flight.
    void check_quiescent();
    /// Adds a violation found by the driver of the fleet.
    void report(invariant broken, std::string detail);

    const std::vector<violation>& violations() const { return violations_; }
    /// Number of runs of the request at all services.
    std::uint64_t runs_of(const std::string& body) const;

private:
    enum class submission_state : std::uint8_t { open, withdrawn, not_run, other };

    struct submission {
        std::string body;
        submission_state state = submission_state::open;
    };

    // One call of a caller or a target, with all attempts that nodes make for it.
    struct outgoing_call {
        // Kept alive because calls are identified by the address of their request.
        request_ptr request;
        instance_id origin;
        request_id whole_request;
        std::uint32_t attempts = 0;
    };

    // Identifies the calls that a target makes for the same purpose: those after the first are
    // retries by the application.
    struct call_site {
        incarnation_id incarnation;
        call_id parent;
        std::string path;

        friend auto operator<=>(const call_site&, const call_site&) = default;
    };

    void count_attempt(const instance_id& node, const start_attempt& what);
    void count_retry(const request_id& whole_request, const std::string& body);

    std::map<std::string, expected_request> expected_;
    std::map<submission_id, submission> submissions_;
    std::map<std::string, std::map<service_name, std::uint64_t>> runs_;
    std::map<const http_request*, outgoing_call> calls_;
    std::map<const http_request*, std::pair<call_site, request_id>> child_calls_;
    std::map<call_site, std::uint32_t> calls_by_site_;
    std::map<request_id, std::uint32_t> retries_;
    std::map<instance_id, time_point> leaving_since_;
    std::map<std::pair<instance_id, document_id>, std::pair<std::uint64_t, revision>>
        held_revisions_;
    std::uint64_t cut_by_exit_ = 0;
    std::vector<violation> violations_;
};

} // namespace trefoil
