#include <trefoil/core/node_core.hpp>

#include <fmt/format.h>

#include <trefoil/admission/admission_position.hpp>
#include <trefoil/base/error.hpp>
#include <trefoil/base/overloaded.hpp>
#include <trefoil/membership/member_list.hpp>
#include <trefoil/routing/neighbours.hpp>

#include "chain_observer.hpp"
#include "core_state.hpp"
#include "document_rules.hpp"
#include "inbound_calls.hpp"
#include "once_calls.hpp"
#include "outbound_calls.hpp"

namespace trefoil {
namespace {

/// Set in the ids of calls that a node makes to its local target, to keep them distinct from the
/// ids that the host process chooses.
constexpr std::uint64_t local_call_bit = 1ULL << 63U;

/// Minimum time from a stop request to the exit. During this time, calls that are still in transit
/// or unread are refused as not run instead of losing their connection.
constexpr duration min_stop_time = 500ms;

call_id local_call(attempt_id attempt) {
    return {attempt.value | local_call_bit};
}

} // namespace

class node_core::impl {
public:
    explicit impl(core_settings settings)
        : state_(std::move(settings)),
          inbound_(state_,
                   [this](attempt_id attempt, const call_completion& completion) {
                       outbound_.attempt_answered(attempt, completion);
                   }),
          outbound_(
              state_,
              [this](attempt_id attempt, request_ptr request, call_context context) {
                  inbound_.arrive(local_call(attempt), reply_to_attempt{attempt},
                                  std::move(request), std::move(context));
              },
              [this](attempt_id attempt) { inbound_.abandon(local_call(attempt)); },
              [this](call_id call, const call_completion& completion) {
                  complete_outbound(call, completion);
              }),
          once_(state_,
                [this](call_id run, request_ptr request, bool once) {
                    outbound_.arrive_from_caller(run, std::move(request), once);
                }),
          documents_({state_.settings.self, state_.settings.domain, state_.settings.region,
                      state_.settings.control_address, state_.settings.planned_nodes,
                      state_.settings.seed,
                      [this](document_id document, std::string_view text) {
                          return parser_.check(document, text);
                      },
                      state_.settings.document_mechanisms}) {}

    actions start(time_point now) {
        state_.now = now;
        state_.pause.start(now);
        state_.log(log_event::node_started, {{"instance", state_.settings.self.str()},
                                             {"service", state_.settings.service.str()},
                                             {"domain", state_.settings.domain.str()}});
        apply(documents_.start(now));
        return finish_step();
    }

    actions step(time_point now, const event& input) {
        state_.now = now;
        if (const auto gap = state_.pause.begin_step(now)) {
            state_.log(log_event::clock_gap, {{"ms", fmt::format("{:.0f}", to_ms(*gap))}});
        }
        chain_observer_.on_event(input);
        expire();
        std::visit([this](const auto& e) { on(e); }, input);
        update_leaving();
        expire();
        check_stop();
        return finish_step();
    }

    core_status status() const {
        return {documents_.status(document_id::table),
                documents_.status(document_id::instances),
                state_.admission_control.load(),
                state_.admission_control.threshold(),
                calls(),
                outbound_.attempts(),
                state_.members.all().size(),
                state_.target_is_up,
                state_.is_leaving()};
    }

    const call_metrics& metrics() const { return state_.metrics; }
    const table* current_table() const {
        return state_.table_in_force ? &*state_.table_in_force : nullptr;
    }

private:
    void on(const call_arrived& e) {
        if (e.received_on == listener_kind::caller) {
            arrive_from_caller(e);
        } else if (e.received_on == listener_kind::app) {
            arrive_from_app(e);
        } else if (e.context) {
            auto context = *e.context;
            context.remaining -= state_.now - state_.arrival_time();
            inbound_.arrive(e.call, reply_to_listener{e.call}, e.request, std::move(context));
        } else {
            once_.arrive_from_peer(e.call, e.request);
        }
    }

    // During a stop only requests that were started before are served. Otherwise the process would
    // never run out of calls.
    void arrive_from_caller(const call_arrived& e) {
        if (once_.arrive_from_caller(e.call, e.request)) {
            return;
        }
        if (state_.stop_was_requested) {
            state_.pending_actions.emplace_back(
                send_response{e.call,
                              nullptr,
                              make_refusal(refusal::leaving, 0, state_.settings.incarnation),
                              {}});
            return;
        }
        outbound_.arrive_from_caller(e.call, e.request, false);
    }

    void complete_outbound(call_id call, const call_completion& completion) {
        if (once_calls::is_run(call)) {
            once_.run_ended(call, completion);
        } else {
            state_.pending_actions.emplace_back(
                send_response{call, completion.answer, completion.info, {}});
        }
    }

    void arrive_from_app(const call_arrived& e) {
        outbound_.arrive_from_app(e.call, e.request, parent_of(e.context));
    }

    app_parent parent_of(const std::optional<call_context>& named) const {
        if (!named) {
            return no_parent{};
        }
        if (named->parent_incarnation != state_.settings.incarnation) {
            return stale_parent{};
        }
        const auto call = named->parent_call;
        if (const auto* context = inbound_.context_of(call)) {
            return known_parent{call, *context, inbound_.deadline_of(call)};
        }
        if (state_.ledger.is_open(call)) {
            return known_parent{call, *named, state_.now + named->remaining};
        }
        return stale_parent{};
    }

    void on(const call_abandoned& e) {
        once_.abandon(e.call);
        outbound_.abandon(e.call);
        inbound_.abandon(e.call);
    }

    void on(const attempt_answered& e) {
        if (inbound_.owns(e.attempt)) {
            inbound_.target_answered(e.attempt, e.answer, e.info);
        } else if (once_.owns(e.attempt)) {
            once_.owner_answered(e.attempt, {e.answer, e.info});
        } else {
            outbound_.attempt_answered(e.attempt, {e.answer, e.info});
        }
    }

    void on(const attempt_failed& e) {
        if (inbound_.owns(e.attempt)) {
            inbound_.target_failed(e.attempt, e.failure);
        } else if (once_.owns(e.attempt)) {
            once_.owner_failed(e.attempt);
        } else {
            outbound_.attempt_failed(e.attempt, e.failure);
        }
    }

    void on(const target_state_changed& e) {
        if (e.is_up == state_.target_is_up) {
            return;
        }
        state_.target_is_up = e.is_up;
        state_.admission_control.target_changed(state_.now, e.is_up);
        if (!e.is_up) {
            state_.request_quarantine.target_went_down(state_.now);
        }
        state_.log(e.is_up ? log_event::target_up : log_event::target_down, {});
    }

    void on(const document_received& e) {
        apply(documents_.on_read(state_.now, e.document, e.document_revision, e.text));
        confirm_instance_list(e.document);
    }
    void on(const document_unchanged& e) {
        apply(documents_.on_unchanged(state_.now, e.document));
        confirm_instance_list(e.document);
    }
    void on(const platform_read_failed& e) {
        apply(documents_.on_platform_failed(state_.now, e.document));
    }

    void on(const control_message_received& e) {
        std::visit(overloaded{
                       [&](const leaving_notice& notice) {
                           if (state_.record_leaving(notice.instance, notice.incarnation)) {
                               forward_notice(notice);
                           }
                       },
                       [&](const suspect_notice& notice) {
                           state_.request_quarantine.receive_notice(state_.now, notice);
                       },
                       [&](const auto& message) {
                           apply(documents_.on_message(state_.now, e.from, e.message));
                           compare_revision(message);
                       },
                   },
                   e.message);
    }

    void on(const stop_requested&) {
        if (state_.stop_was_requested) {
            state_.log(log_event::second_stop_signal, {{"calls", std::to_string(calls())}});
            return;
        }
        state_.stop_was_requested = true;
        drain_deadline_ = state_.now + state_.settings.drain_limit;
        earliest_exit_ = state_.now + min_stop_time;
        state_.log(log_event::node_stopping, {{"calls", std::to_string(calls())}});
        state_.members.announce_leaving(state_.settings.self);
        forward_notice(leaving_notice{state_.settings.self, state_.settings.incarnation});
    }

    // Each node forwards the notice to a few others, so that it reaches the whole fleet.
    void forward_notice(const leaving_notice& notice) {
        for (const auto& peer :
             dissemination_peers(state_.members, state_.settings.self, state_.settings.domain)) {
            state_.pending_actions.emplace_back(send_control{peer.instance, peer.control, notice});
        }
    }

    void update_leaving() {
        for (const auto& instance : state_.announcements.expire(state_.now)) {
            state_.members.withdraw_announcement(instance);
        }
        if (!state_.is_leaving()) {
            state_.leaving_since.reset();
        } else if (!state_.leaving_since) {
            state_.leaving_since = state_.now;
            state_.log(log_event::instance_leaving, {{"instance", state_.settings.self.str()}});
        }
    }

    void confirm_instance_list(document_id document) {
        if (document == document_id::instances) {
            state_.pause.on_instance_list_confirmed(state_.now);
        }
    }

    // A neighbour that holds no newer revision confirms the instance list.
    void compare_revision(const document_digest& digest) {
        if (digest.held_revision <= documents_.status(digest.document).held) {
            confirm_instance_list(digest.document);
        }
    }
    void compare_revision(const document_delta& delta) {
        if (delta.to <= documents_.status(delta.document).held) {
            confirm_instance_list(delta.document);
        }
    }
    template <class Other>
    void compare_revision(const Other&) {}

    // The timer may fire too early, so the next one is always armed again.
    void on(const timer_fired&) { armed_timer_.reset(); }

    std::size_t calls() const { return inbound_.size() + outbound_.size() + once_.size(); }

    void expire() {
        outbound_.advance();
        inbound_.advance();
        while (!state_.aborted_parents.empty()) {
            const auto parent = state_.aborted_parents.back();
            state_.aborted_parents.pop_back();
            outbound_.cancel_calls_of(parent);
        }
        once_.advance();
        apply(documents_.advance(state_.now));
    }

    void check_stop() {
        if (!state_.stop_was_requested || has_exited_) {
            return;
        }
        const bool limit_reached = state_.now >= drain_deadline_;
        if (limit_reached && calls() > 0) {
            state_.log(log_event::drain_limit_reached, {{"calls", std::to_string(calls())}});
        }
        const bool min_stop_time_passed = state_.now >= earliest_exit_;
        if (limit_reached || (calls() == 0 && min_stop_time_passed)) {
            has_exited_ = true;
            state_.log(log_event::node_stopped, {});
            state_.pending_actions.emplace_back(exit_process{calls() == 0 ? 0 : 1});
        }
    }

    void apply(exchange_outputs outputs) {
        for (auto& output : outputs) {
            std::visit(
                overloaded{
                    [&](const platform_read& read) { state_.pending_actions.emplace_back(read); },
                    [&](const control_send& send) { apply(send); },
                    [&](const document_changed& changed) { apply(changed); },
                    [&](const log_record& record) {
                        state_.pending_actions.emplace_back(write_log_record{record});
                    },
                },
                output);
        }
    }

    void apply(const control_send& send) {
        const auto* peer = state_.members.find(send.to);
        const auto address = peer != nullptr ? peer->control : send.address;
        if (!address.ip.empty()) {
            state_.pending_actions.emplace_back(send_control{send.to, address, send.message});
        }
    }

    void apply(const document_changed& changed) {
        if (changed.document == document_id::table) {
            state_.table_in_force = parser_.take_table(*changed.text);
            return;
        }
        state_.members.replace(parser_.take_members(*changed.text));
        documents_.on_members_changed(state_.now, state_.members);
    }

    // Logs when the admission threshold starts and stops refusing calls.
    void log_threshold_change() {
        const auto threshold = state_.admission_control.threshold();
        const bool refuses = threshold < admit_all;
        if (refuses == is_refusing_) {
            return;
        }
        is_refusing_ = refuses;
        state_.log(refuses ? log_event::level_raised : log_event::level_cleared,
                   {{"threshold", std::to_string(threshold)}});
    }

    void log_ejections() {
        for (const auto& change : state_.request_router.take_changes()) {
            if (change.is_ejected) {
                state_.log(log_event::instance_ejected,
                           {{"instance", change.instance.str()},
                            {"ms", fmt::format("{:.0f}", to_ms(change.time))}});
            } else {
                state_.log(log_event::instance_returned, {{"instance", change.instance.str()}});
            }
        }
    }

    void log_cleared(const suspect_notice& notice) {
        if (notice.state != suspicion::cleared) {
            return;
        }
        for (const auto request : notice.fingerprints) {
            state_.log(log_event::request_cleared,
                       {{"fingerprint", fmt::format("{:016x}", request)}});
        }
    }

    void send_notices() {
        for (const auto& notice : state_.request_quarantine.take_notices(state_.now)) {
            log_cleared(notice);
            for (const auto& peer :
                 nearest_of_service(state_.members, state_.settings.self, state_.settings.service,
                                    {state_.settings.domain, state_.settings.region})) {
                state_.pending_actions.emplace_back(
                    send_control{peer.instance, peer.control, notice});
            }
        }
    }

    actions finish_step() {
        log_threshold_change();
        log_ejections();
        send_notices();
        std::optional<time_point> wake;
        const auto consider = [&](std::optional<time_point> at) {
            if (at && (!wake || *at < *wake)) {
                wake = at;
            }
        };
        consider(inbound_.next_wake());
        consider(outbound_.next_wake());
        consider(documents_.next_wake());
        consider(state_.request_quarantine.next_wake());
        consider(state_.pause.next_wake(state_.now));
        if (state_.leaving_since && !state_.must_refuse_queued()) {
            consider(*state_.leaving_since + core_state::queue_drain_grace);
        }
        if (state_.stop_was_requested && !has_exited_) {
            consider(drain_deadline_);
            if (state_.now < earliest_exit_) {
                consider(earliest_exit_);
            }
        }
        if (wake && wake != armed_timer_ && !has_exited_) {
            armed_timer_ = wake;
            state_.pending_actions.emplace_back(arm_timer{*wake});
        }
        if (armed_timer_ && *armed_timer_ <= state_.now) {
            armed_timer_.reset();
        }
        chain_observer_.on_actions(state_.pending_actions);
        actions out;
        out.swap(state_.pending_actions);
        return out;
    }

    core_state state_;
    inbound_calls inbound_;
    outbound_calls outbound_;
    once_calls once_;
    document_parser parser_;
    document_exchange documents_;
    chain_observer chain_observer_{state_};
    std::optional<time_point> armed_timer_;
    time_point drain_deadline_;
    time_point earliest_exit_;
    bool has_exited_ = false;
    bool is_refusing_ = false;
};

node_core::node_core(core_settings settings) : impl_(std::make_unique<impl>(std::move(settings))) {}
node_core::~node_core() = default;
node_core::node_core(node_core&&) noexcept = default;
node_core& node_core::operator=(node_core&&) noexcept = default;

actions node_core::start(time_point now) {
    return impl_->start(now);
}
actions node_core::step(time_point now, const event& input) {
    return impl_->step(now, input);
}
core_status node_core::status() const {
    return impl_->status();
}
const call_metrics& node_core::metrics() const {
    return impl_->metrics();
}
const table* node_core::current_table() const {
    return impl_->current_table();
}

} // namespace trefoil
