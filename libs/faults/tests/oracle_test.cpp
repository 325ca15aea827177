#include <doctest/doctest.h>

#include <trefoil/faults/oracle.hpp>

using namespace trefoil;

namespace {

expected_request make_request(const std::string& body, bool once) {
    return {body, {"(a " + body + ")"}, once, 1};
}

caller_result refused_not_run() {
    caller_result result;
    result.status = 503;
    result.info.result = outcome::not_run;
    return result;
}

caller_result answered(const std::string& body) {
    caller_result result;
    result.status = 200;
    result.info.result = outcome::completed;
    result.body = body;
    return result;
}

bool has_violation(const oracle& checked, invariant what) {
    const auto& all = checked.violations();
    return std::any_of(all.begin(), all.end(),
                       [&](const violation& one) { return one.broken == what; });
}

start_attempt make_attempt(const request_ptr& request) {
    start_attempt attempt;
    attempt.to = peer_destination{instance_id("b1"), {"127.0.0.1", 1}};
    attempt.request = request;
    attempt.context = call_context{};
    return attempt;
}

request_ptr make_call(const std::string& body) {
    http_request request;
    request.path = "/x";
    request.body = body;
    return std::make_shared<const http_request>(std::move(request));
}

const instance_id a1("a1");
const service_name a("a");

} // namespace

TEST_CASE("a run of a request with the result not_run is reported, in either order") {
    for (const bool runs_first : {true, false}) {
        oracle checked;
        checked.record_submission(1, make_request("<1>", false));
        if (runs_first) {
            checked.record_run(time_point{}, a1, a, "<1>");
        }
        checked.record_result(1, refused_not_run());
        if (!runs_first) {
            checked.record_run(time_point{}, a1, a, "<1>");
        }
        checked.check_quiescent();
        CHECK(has_violation(checked, invariant::not_run_is_true));
    }
}

TEST_CASE("a refused request that its caller resends may run for the second submission") {
    oracle checked;
    checked.record_submission(1, make_request("<1>", false));
    checked.record_result(1, refused_not_run());
    checked.record_submission(2, make_request("<1>", false));
    checked.record_run(time_point{}, a1, a, "<1>");
    checked.record_result(2, answered("(a <1>)"));
    checked.check_quiescent();
    CHECK(checked.violations().empty());
}

TEST_CASE("an incomplete response and the response to another request are reported") {
    for (const auto* text : {"(a <1>", "(a <2>)", ""}) {
        oracle checked;
        checked.record_submission(1, make_request("<1>", false));
        checked.record_result(1, answered(text));
        CHECK(has_violation(checked, invariant::answer_is_whole_and_own));
    }
}

TEST_CASE("a second run of a request that must not be retried is reported") {
    oracle checked;
    checked.record_submission(1, make_request("<1>", true));
    checked.record_run(time_point{}, a1, a, "<1>");
    CHECK(checked.violations().empty());
    checked.record_run(time_point{}, a1, a, "<1>");
    CHECK(has_violation(checked, invariant::at_most_once));
}

TEST_CASE("retries by nodes and by targets count for the whole request") {
    oracle checked;
    checked.record_submission(1, make_request("<1>", false));
    const auto first = make_call("<1>");
    checked.record_action(a1, make_attempt(first));
    checked.record_action(a1, make_attempt(first));
    CHECK(checked.violations().empty());
    const call_context parent;
    const auto child = make_call("<1>");
    const auto retried = make_call("<1>");
    checked.record_child_call(child, parent);
    checked.record_action(a1, make_attempt(child));
    checked.record_child_call(retried, parent);
    CHECK(checked.violations().empty());
    checked.record_action(a1, make_attempt(retried));
    CHECK(has_violation(checked, invariant::retries_are_bounded));
}

TEST_CASE("new work at a target after leaving_limit is reported") {
    oracle checked;
    checked.set_leaving(a1, time_point{});
    checked.record_run(time_point{} + leaving_limit, a1, a, "<1>");
    CHECK(checked.violations().empty());
    checked.record_run(time_point{} + leaving_limit + 1ms, a1, a, "<1>");
    CHECK(has_violation(checked, invariant::leaving_gets_no_work));
}

TEST_CASE("a revision that decreases within one run of a node is reported") {
    oracle checked;
    checked.record_revision(a1, 1, document_id::table, {2});
    checked.record_revision(a1, 2, document_id::table, {1});
    CHECK(checked.violations().empty());
    checked.record_revision(a1, 2, document_id::table, {0});
    CHECK(has_violation(checked, invariant::revisions_never_fall));
}

TEST_CASE("a submission without a result or with two results is reported") {
    oracle checked;
    checked.record_submission(1, make_request("<1>", false));
    checked.check_quiescent();
    CHECK(has_violation(checked, invariant::one_end_each));
    oracle twice;
    twice.record_submission(1, make_request("<1>", false));
    twice.record_result(1, answered("(a <1>)"));
    twice.record_result(1, answered("(a <1>)"));
    CHECK(has_violation(twice, invariant::one_end_each));
}

TEST_CASE("a request aborted by a node's exit is reported") {
    oracle checked;
    checked.record_aborted_by_exit(0);
    CHECK(checked.violations().empty());
    checked.record_aborted_by_exit(1);
    CHECK(has_violation(checked, invariant::stop_cuts_nothing));
}
