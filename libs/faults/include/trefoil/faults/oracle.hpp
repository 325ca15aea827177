// Checks what must always hold by counting what targets ran and what callers were told.
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

/// What must always hold.
enum class invariant : std::uint8_t {
    /// A request told not_run was run by no target.
    not_run_is_true,
    /// An answer told complete is the whole and own one.
    answer_is_whole_and_own,
    /// A request of a kind that must not be repeated runs at most once at each service.
    at_most_once,
    /// Retries of one whole request stay within its row's number over all layers.
    retries_are_bounded,
    /// A target that is leaving gets no new work after leaving_limit.
    leaving_gets_no_work,
    /// A planned stop cuts off no request.
    stop_cuts_nothing,
    /// The revision that a node holds never falls.
    revisions_never_fall,
    /// After the end of all faults every node holds what is published.
    nodes_agree,
    /// Each request gets exactly one end.
    one_end_each,
    /// After the end of all faults the fleet serves again.
    service_recovers,
    /// A quiet node holds no call.
    nothing_is_left,
};

/// All invariants, in the order of their declaration.
const std::vector<invariant>& all_invariants();
std::string_view name_of(invariant value);

/// One thing that did not hold.
struct violation {
    invariant broken = invariant::not_run_is_true;
    std::string detail;

    friend bool operator==(const violation&, const violation&) = default;
};

/// Longest time from the listing or announcement of a leaving target to its last new work.
inline constexpr duration leaving_limit = 3s;

/// What the checks need to know of a request; requests are told apart by their bodies.
struct expected_request {
    std::string body;
    /// Every text that is a complete answer.
    std::set<std::string> answers;
    /// True if it must not be repeated.
    bool once = false;
    /// Retries that its row allows.
    std::uint32_t retries = 0;

    friend bool operator==(const expected_request&, const expected_request&) = default;
};

/// Counts runs and ends, and keeps what was violated. It knows nothing of how a node decides.
class oracle {
public:
    using submission_id = std::uint64_t;

    /// A caller sent a request; sent again, it is a submission of its own.
    void submitted(submission_id submission, const expected_request& request);
    /// The caller closed its connection.
    void withdrawn(submission_id submission);
    /// The caller was told of the end.
    void told(submission_id submission, const caller_result& result);

    /// A target began work on a request.
    void ran(time_point now, const instance_id& at, const service_name& service,
             const std::string& body);
    /// A target made a call of its own while it worked on the request of the context.
    void called(const request_ptr& request, const call_context& parent);
    /// A node acted.
    void acted(const instance_id& node, const action& what);

    /// The target is leaving since this time, as far as its node can know; nothing ends that.
    void set_leaving(const instance_id& instance, std::optional<time_point> since);
    /// Requests that nodes cut off by their exit so far.
    void saw_cut_by_exit(std::uint64_t count);
    /// The revision that a run of a node holds.
    void saw_revision(const instance_id& node, std::uint64_t run, document_id document,
                      revision held);

    /// Checks what holds only once nothing is in flight any more.
    void check_at_rest();
    /// Adds a violation that the driver of the fleet has seen.
    void report(invariant broken, std::string detail);

    const std::vector<violation>& violations() const { return violations_; }
    std::uint64_t runs_of(const std::string& body) const;

private:
    enum class end : std::uint8_t { open, withdrawn, not_run, other };

    struct submission {
        std::string body;
        end ended = end::open;
    };

    // One call of a caller or a target, however often nodes try it.
    struct outgoing_call {
        // Held so that the address stays the call's own.
        request_ptr request;
        instance_id origin;
        request_id whole;
        std::uint32_t attempts = 0;
    };

    // What repeated calls of one target have in common.
    struct call_place {
        incarnation_id incarnation;
        call_id parent;
        std::string path;

        friend auto operator<=>(const call_place&, const call_place&) = default;
    };

    void count_attempt(const instance_id& node, const start_attempt& what);
    void count_retry(const request_id& whole, const std::string& body);

    std::map<std::string, expected_request> expected_;
    std::map<submission_id, submission> submissions_;
    std::map<std::string, std::map<service_name, std::uint64_t>> runs_;
    std::map<const http_request*, outgoing_call> calls_;
    std::map<const http_request*, std::pair<call_place, request_id>> made_by_targets_;
    std::map<call_place, std::uint32_t> tried_at_place_;
    std::map<request_id, std::uint32_t> retries_;
    std::map<instance_id, time_point> leaving_since_;
    std::map<std::pair<instance_id, document_id>, std::pair<std::uint64_t, revision>> held_;
    std::uint64_t cut_by_exit_ = 0;
    std::vector<violation> violations_;
};

} // namespace trefoil
