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

/// Ids of calls that a node makes to its own target; above the shell's.
constexpr std::uint64_t local_call_bit = 1ULL << 63U;

/// Least time from a stop to the exit, in which calls that are on their way or wait unread are
/// refused as not run instead of being cut off.
constexpr duration stop_linger = 500ms;

call_id local_call(attempt_id attempt) {
    return {attempt.value | local_call_bit};
}

} // namespace

class node_core::impl {
public:
    explicit impl(core_settings settings)
        : state_(std::move(settings)), inbound_(state_,
                                                [this](attempt_id attempt, const call_end& end) {
                                                    outbound_.attempt_answered(attempt, end);
                                                }),
          outbound_(
              state_,
              [this](attempt_id attempt, request_ptr request, call_context context) {
                  inbound_.arrive(local_call(attempt), reply_to_attempt{attempt},
                                  std::move(request), std::move(context));
              },
              [this](attempt_id attempt) { inbound_.abandon(local_call(attempt)); },
              [this](call_id call, const call_end& end) { end_outbound(call, end); }),
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

    actions step(time_point now, const event& happened) {
        state_.now = now;
        if (const auto gap = state_.pause.enter_step(now)) {
            state_.log(log_event::clock_gap, {{"ms", fmt::format("{:.0f}", to_ms(*gap))}});
        }
        chain_.before(happened);
        expire();
        std::visit([this](const auto& e) { on(e); }, happened);
        note_leaving();
        expire();
        check_stop();
        return finish_step();
    }

    core_status status() const {
        return {documents_.status(document_id::table),
                documents_.status(document_id::instances),
                state_.admitter.load(),
                state_.admitter.threshold(),
                calls(),
                outbound_.attempts(),
                state_.members.all().size(),
                state_.target_is_up,
                state_.is_leaving()};
    }

    const call_metrics& metrics() const { return state_.metrics; }
    const table* current_table() const { return state_.current ? &*state_.current : nullptr; }

private:
    void on(const call_arrived& e) {
        if (e.from == listener::caller) {
            arrive_from_caller(e);
        } else if (e.from == listener::app) {
            arrive_from_app(e);
        } else if (e.context) {
            auto context = *e.context;
            context.remaining -= state_.now - state_.arrival();
            inbound_.arrive(e.call, reply_to_listener{e.call}, e.request, std::move(context));
        } else {
            once_.arrive_from_peer(e.call, e.request);
        }
    }

    // During a stop only requests that were begun before are served, or the process would never run
    // out of calls.
    void arrive_from_caller(const call_arrived& e) {
        if (once_.arrive_from_caller(e.call, e.request)) {
            return;
        }
        if (state_.stop_was_requested) {
            state_.out.emplace_back(respond{
                e.call, nullptr, refused(refusal::leaving, 0, state_.settings.incarnation), {}});
            return;
        }
        outbound_.arrive_from_caller(e.call, e.request, false);
    }

    void end_outbound(call_id call, const call_end& end) {
        if (once_calls::is_run(call)) {
            once_.run_ended(call, end);
        } else {
            state_.out.emplace_back(respond{call, end.answer, end.info, {}});
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
            return lost_parent{};
        }
        const auto call = named->parent_call;
        if (const auto* context = inbound_.context_of(call)) {
            return known_parent{call, *context, inbound_.deadline_of(call)};
        }
        if (state_.ledger.is_open(call)) {
            return known_parent{call, *named, state_.now + named->remaining};
        }
        return lost_parent{};
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
        state_.admitter.target_changed(state_.now, e.is_up);
        if (!e.is_up) {
            state_.gate.target_went_down(state_.now);
        }
        state_.log(e.is_up ? log_event::target_up : log_event::target_down, {});
    }

    void on(const document_read& e) {
        apply(documents_.on_read(state_.now, e.document, e.at, e.text));
        note_confirmation(e.document);
    }
    void on(const document_unchanged& e) {
        apply(documents_.on_unchanged(state_.now, e.document));
        note_confirmation(e.document);
    }
    void on(const platform_failed& e) {
        apply(documents_.on_platform_failed(state_.now, e.document));
    }

    void on(const control_received& e) {
        std::visit(overloaded{
                       [&](const leaving_notice& notice) {
                           if (state_.announce_leaving(notice.instance, notice.incarnation)) {
                               pass_on(notice);
                           }
                       },
                       [&](const suspect_notice& notice) { state_.gate.heard(state_.now, notice); },
                       [&](const auto& message) {
                           apply(documents_.on_message(state_.now, e.from, e.message));
                           note_digest(message);
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
        stop_at_ = state_.now + state_.settings.drain_limit;
        exit_from_ = state_.now + stop_linger;
        state_.log(log_event::node_stopping, {{"calls", std::to_string(calls())}});
        state_.members.announce_leaving(state_.settings.self);
        pass_on(leaving_notice{state_.settings.self, state_.settings.incarnation});
    }

    // The news reaches the whole fleet, each node telling a few.
    void pass_on(const leaving_notice& notice) {
        for (const auto& peer :
             news_neighbours(state_.members, state_.settings.self, state_.settings.domain)) {
            state_.out.emplace_back(send_control{peer.instance, peer.control, notice});
        }
    }

    void note_leaving() {
        for (const auto& instance : state_.leaving.expire(state_.now)) {
            state_.members.end_announcement(instance);
        }
        if (!state_.is_leaving()) {
            state_.leaving_since.reset();
        } else if (!state_.leaving_since) {
            state_.leaving_since = state_.now;
            state_.log(log_event::instance_leaving, {{"instance", state_.settings.self.str()}});
        }
    }

    void note_confirmation(document_id document) {
        if (document == document_id::instances) {
            state_.pause.list_confirmed(state_.now);
        }
    }

    // A neighbour that holds nothing newer confirms the list.
    void note_digest(const document_digest& digest) {
        if (digest.held <= documents_.status(digest.document).held) {
            note_confirmation(digest.document);
        }
    }
    void note_digest(const document_delta& delta) {
        if (delta.to <= documents_.status(delta.document).held) {
            note_confirmation(delta.document);
        }
    }
    template <class Other>
    void note_digest(const Other&) {}

    // The timer may have come too early; the next one is armed anew.
    void on(const timer_fired&) { armed_.reset(); }

    std::size_t calls() const { return inbound_.size() + outbound_.size() + once_.size(); }

    void expire() {
        outbound_.advance();
        inbound_.advance();
        while (!state_.lost_parents.empty()) {
            const auto parent = state_.lost_parents.back();
            state_.lost_parents.pop_back();
            outbound_.withdraw_calls_of(parent);
        }
        once_.advance();
        apply(documents_.advance(state_.now));
    }

    void check_stop() {
        if (!state_.stop_was_requested || has_exited_) {
            return;
        }
        const bool limit_reached = state_.now >= stop_at_;
        if (limit_reached && calls() > 0) {
            state_.log(log_event::drain_limit_reached, {{"calls", std::to_string(calls())}});
        }
        const bool has_lingered = state_.now >= exit_from_;
        if (limit_reached || (calls() == 0 && has_lingered)) {
            has_exited_ = true;
            state_.log(log_event::node_stopped, {});
            state_.out.emplace_back(exit_process{calls() == 0 ? 0 : 1});
        }
    }

    void apply(exchange_outputs outputs) {
        for (auto& output : outputs) {
            std::visit(overloaded{
                           [&](const platform_read& read) { state_.out.emplace_back(read); },
                           [&](const control_send& send) { apply(send); },
                           [&](const document_changed& changed) { apply(changed); },
                           [&](const log_record& record) {
                               state_.out.emplace_back(write_record{record});
                           },
                       },
                       output);
        }
    }

    void apply(const control_send& send) {
        const auto* peer = state_.members.find(send.to);
        const auto address = peer != nullptr ? peer->control : send.address;
        if (!address.ip.empty()) {
            state_.out.emplace_back(send_control{send.to, address, send.message});
        }
    }

    void apply(const document_changed& changed) {
        if (changed.document == document_id::table) {
            state_.current = parser_.take_table(*changed.text);
            return;
        }
        state_.members.replace(parser_.take_members(*changed.text));
        documents_.members_changed(state_.now, state_.members);
    }

    // Logs when the admission level begins to refuse and when it has ended.
    void log_level() {
        const auto threshold = state_.admitter.threshold();
        const bool refuses = threshold < admit_all;
        if (refuses == level_is_raised_) {
            return;
        }
        level_is_raised_ = refuses;
        state_.log(refuses ? log_event::level_raised : log_event::level_cleared,
                   {{"threshold", std::to_string(threshold)}});
    }

    void log_ejections() {
        for (const auto& change : state_.route.take_changes()) {
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
        for (const auto& notice : state_.gate.take_notices(state_.now)) {
            log_cleared(notice);
            for (const auto& peer :
                 nearest_of_service(state_.members, state_.settings.self, state_.settings.service,
                                    {state_.settings.domain, state_.settings.region})) {
                state_.out.emplace_back(send_control{peer.instance, peer.control, notice});
            }
        }
    }

    actions finish_step() {
        log_level();
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
        consider(state_.gate.next_wake());
        consider(state_.pause.next_wake(state_.now));
        if (state_.leaving_since && !state_.must_refuse_waiting()) {
            consider(*state_.leaving_since + core_state::waiting_grace);
        }
        if (state_.stop_was_requested && !has_exited_) {
            consider(stop_at_);
            if (state_.now < exit_from_) {
                consider(exit_from_);
            }
        }
        if (wake && wake != armed_ && !has_exited_) {
            armed_ = wake;
            state_.out.emplace_back(arm_timer{*wake});
        }
        if (armed_ && *armed_ <= state_.now) {
            armed_.reset();
        }
        chain_.after(state_.out);
        actions out;
        out.swap(state_.out);
        return out;
    }

    core_state state_;
    inbound_calls inbound_;
    outbound_calls outbound_;
    once_calls once_;
    document_parser parser_;
    document_exchange documents_;
    chain_observer chain_{state_};
    std::optional<time_point> armed_;
    time_point stop_at_;
    time_point exit_from_;
    bool has_exited_ = false;
    bool level_is_raised_ = false;
};

node_core::node_core(core_settings settings) : impl_(std::make_unique<impl>(std::move(settings))) {}
node_core::~node_core() = default;
node_core::node_core(node_core&&) noexcept = default;
node_core& node_core::operator=(node_core&&) noexcept = default;

actions node_core::start(time_point now) {
    return impl_->start(now);
}
actions node_core::step(time_point now, const event& happened) {
    return impl_->step(now, happened);
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
