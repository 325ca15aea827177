#include <trefoil/faults/oracle.hpp>

#include <algorithm>

#include <fmt/format.h>

namespace trefoil {

const std::vector<invariant>& all_invariants() {
    static const std::vector<invariant> all = {
        invariant::not_run_is_true,      invariant::answer_is_whole_and_own,
        invariant::at_most_once,         invariant::retries_are_bounded,
        invariant::leaving_gets_no_work, invariant::stop_cuts_nothing,
        invariant::revisions_never_fall, invariant::nodes_agree,
        invariant::one_end_each,         invariant::service_recovers,
        invariant::nothing_is_left,
    };
    return all;
}

std::string_view name_of(invariant value) {
    switch (value) {
    case invariant::not_run_is_true:
        return "not_run_is_true";
    case invariant::answer_is_whole_and_own:
        return "answer_is_whole_and_own";
    case invariant::at_most_once:
        return "at_most_once";
    case invariant::retries_are_bounded:
        return "retries_are_bounded";
    case invariant::leaving_gets_no_work:
        return "leaving_gets_no_work";
    case invariant::stop_cuts_nothing:
        return "stop_cuts_nothing";
    case invariant::revisions_never_fall:
        return "revisions_never_fall";
    case invariant::nodes_agree:
        return "nodes_agree";
    case invariant::one_end_each:
        return "one_end_each";
    case invariant::service_recovers:
        return "service_recovers";
    case invariant::nothing_is_left:
        return "nothing_is_left";
    }
    return "unknown";
}

void oracle::report(invariant broken, std::string detail) {
    violations_.push_back({broken, std::move(detail)});
}

void oracle::record_submission(submission_id submission, const expected_request& request) {
    expected_.insert_or_assign(request.body, request);
    submissions_.insert_or_assign(submission,
                                  oracle::submission{request.body, submission_state::open});
}

void oracle::record_withdrawal(submission_id submission) {
    auto& entry = submissions_.at(submission);
    if (entry.state == submission_state::open) {
        entry.state = submission_state::withdrawn;
    }
}

void oracle::record_result(submission_id submission, const caller_result& result) {
    auto& entry = submissions_.at(submission);
    if (entry.state != submission_state::open) {
        report(invariant::one_end_each, fmt::format("{} got a second end", entry.body));
        return;
    }
    constexpr int ok_status = 200;
    if (result.status == ok_status) {
        const auto& answers = expected_.at(entry.body).answers;
        if (!answers.contains(result.body)) {
            report(invariant::answer_is_whole_and_own,
                   fmt::format("{} got \"{}\"", entry.body, result.body));
        }
    }
    const bool is_refused = result.status != 0 && result.info.result == outcome::not_run;
    entry.state = is_refused ? submission_state::not_run : submission_state::other;
}

void oracle::record_run(time_point now, const instance_id& at, const service_name& service,
                        const std::string& body) {
    const auto count = ++runs_[body][service];
    const auto request = expected_.find(body);
    if (request != expected_.end() && request->second.once && count > 1) {
        report(invariant::at_most_once,
               fmt::format("{} ran {} times at {}", body, count, service.str()));
    }
    const auto leaving = leaving_since_.find(at);
    if (leaving != leaving_since_.end() && now > leaving->second + leaving_limit) {
        report(invariant::leaving_gets_no_work,
               fmt::format("{} ran {} {} ms after it started to leave", at.str(), body,
                           to_ms(now - leaving->second)));
    }
}

void oracle::record_child_call(const request_ptr& request, const call_context& parent) {
    const call_site origin_site{parent.parent_incarnation, parent.parent_call,
                                request->service.str() + request->path};
    child_calls_.emplace(request.get(), std::pair(origin_site, parent.request));
    calls_.emplace(request.get(), outgoing_call{request, {}, parent.request, 0});
}

void oracle::record_action(const instance_id& node, const action& what) {
    if (const auto* attempt = std::get_if<start_attempt>(&what)) {
        count_attempt(node, *attempt);
    }
}

void oracle::count_attempt(const instance_id& node, const start_attempt& what) {
    if (!what.context) {
        return; // Forwarding a request to the owner of its idempotency key is not an attempt.
    }
    const auto* key = what.request.get();
    auto& call = calls_.try_emplace(key, outgoing_call{what.request, {}, what.context->request, 0})
                     .first->second;
    if (call.attempts == 0) {
        call.origin = node;
    } else if (call.origin != node) {
        return; // The receiving node passes the call to its local target.
    }
    ++call.attempts;
    if (call.attempts > 1) {
        count_retry(call.whole_request, what.request->body);
        return;
    }
    const auto made = child_calls_.find(key);
    if (made != child_calls_.end() && ++calls_by_site_[made->second.first] > 1) {
        count_retry(call.whole_request, what.request->body);
    }
}

void oracle::count_retry(const request_id& whole_request, const std::string& body) {
    const auto count = ++retries_[whole_request];
    const auto request = expected_.find(body);
    if (request != expected_.end() && count > request->second.retries) {
        report(invariant::retries_are_bounded,
               fmt::format("{} was retried {} times, allowed are {}", body, count,
                           request->second.retries));
    }
}

void oracle::set_leaving(const instance_id& instance, std::optional<time_point> since) {
    if (!since) {
        leaving_since_.erase(instance);
    } else {
        leaving_since_.try_emplace(instance, *since);
    }
}

void oracle::record_aborted_by_exit(std::uint64_t count) {
    if (count > cut_by_exit_) {
        report(invariant::stop_cuts_nothing,
               fmt::format("{} requests were cut off by an exit", count - cut_by_exit_));
        cut_by_exit_ = count;
    }
}

void oracle::record_revision(const instance_id& node, std::uint64_t run, document_id document,
                             revision held) {
    auto& [last_run, last] = held_revisions_[{node, document}];
    if (last_run == run && held < last) {
        report(invariant::revisions_never_fall,
               fmt::format("{} went back from revision {} to {} of the {}", node.str(), last.value,
                           held.value, name_of(document)));
    }
    last_run = run;
    last = held;
}

std::uint64_t oracle::runs_of(const std::string& body) const {
    const auto found = runs_.find(body);
    std::uint64_t sum = 0;
    if (found != runs_.end()) {
        for (const auto& [service, count] : found->second) {
            sum += count;
        }
    }
    return sum;
}

void oracle::check_quiescent() {
    std::map<std::string, bool> all_not_run;
    for (const auto& [id, entry] : submissions_) {
        if (entry.state == submission_state::open) {
            report(invariant::one_end_each, fmt::format("{} got no end", entry.body));
        }
        auto& all = all_not_run.try_emplace(entry.body, true).first->second;
        all = all && entry.state == submission_state::not_run;
    }
    for (const auto& [body, is_not_run] : all_not_run) {
        if (is_not_run && runs_of(body) > 0) {
            report(invariant::not_run_is_true,
                   fmt::format("{} has the result not_run but ran {} times", body, runs_of(body)));
        }
    }
}

} // namespace trefoil
