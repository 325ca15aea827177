#include <trefoil/emulator/virtual_fleet.hpp>

#include <algorithm>

#include <fmt/format.h>

#include <trefoil/base/overloaded.hpp>

namespace trefoil {
namespace {

constexpr duration platform_poll_interval = 20ms;
constexpr duration platform_timeout = 1s;
constexpr duration min_timer_delay = 100us;
constexpr int refused_status = 503;

answer_info declared_info(const http_answer& answer) {
    answer_info info;
    const bool was_shed =
        answer.headers == std::vector<http_header>{{"trefoil-outcome", "not_run"}};
    info.result = was_shed ? outcome::not_run : outcome::completed;
    return info;
}

} // namespace

struct virtual_fleet::node {
    fleet_member member;
    std::optional<node_core> core;
    std::unique_ptr<fake_target> target;
    /// Incremented with each start, so that events for an earlier run are dropped.
    std::uint64_t run = 0;
    bool is_running = false;
    bool is_paused = false;
    /// State of the target that the core was last notified of.
    bool reported_target_up = true;
    /// Events that arrived while the process was paused.
    std::vector<event> pending_events;
    std::uint64_t next_call = 0;
    /// Number of the current timer; arming a timer replaces the previous one.
    std::uint64_t timer = 0;
    /// Calls that this node has received and not yet answered.
    std::unordered_map<call_id, wire_call_ptr> arrived;
    /// Attempts of this node in flight. Attempts to the local target have a null call.
    std::unordered_map<attempt_id, wire_call_ptr> attempts;

    const std::string& domain() const { return member.core.domain.str(); }
};

/// A call in flight from a caller, a target or a node to a node.
struct virtual_fleet::wire_call {
    /// The sender and its attempt; set only for calls between nodes.
    node_ptr from;
    std::uint64_t from_run = 0;
    attempt_id attempt;
    node_ptr to;
    std::uint64_t to_run = 0;
    call_id call;
    bool has_arrived = false;
    bool is_closed = false;
    /// Set only for calls from callers and targets.
    std::function<void(const send_response&)> on_response;
    std::function<void()> on_connection_lost;
};

virtual_fleet::virtual_fleet(network_settings network, fake_target::work_of work,
                             std::uint64_t seed)
    : network_(network), work_of_(std::move(work)), random_(seed) {}

virtual_fleet::~virtual_fleet() {
    // Break the reference cycles between nodes and the calls between them.
    for (const auto& [instance, at] : nodes_) {
        at->arrived.clear();
        at->attempts.clear();
    }
}

void virtual_fleet::add(fleet_member member) {
    auto added = std::make_shared<node>();
    added->member = std::move(member);
    const auto& core = added->member.core;
    added->target =
        std::make_unique<fake_target>(clock_, core.service, added->member.target, random_());
    const std::weak_ptr<node> weak = added;
    added->target->set_hooks(
        [this, weak](request_ptr request, const call_context& context,
                     fake_target::call_done done) {
            call_from_target(weak.lock(), std::move(request), context, std::move(done));
        },
        [this, weak](attempt_id attempt, const answer_ptr& answer) {
            const auto at = weak.lock();
            if (at->attempts.erase(attempt) == 0) {
                return;
            }
            if (answer) {
                deliver(at, at->run, attempt_answered{attempt, answer, declared_info(*answer)});
            } else {
                deliver(at, at->run, attempt_failed{attempt, attempt_failure::connection_lost});
            }
        },
        work_of_,
        [this, weak](const http_request& request, const call_context& context) {
            if (run_observer_) {
                run_observer_(weak.lock()->member.core.self, request, context);
            }
        });
    nodes_[core.self] = added;
    start_core(added);
}

std::vector<instance_id> virtual_fleet::instances() const {
    std::vector<instance_id> all;
    for (const auto& [instance, at] : nodes_) {
        all.push_back(instance);
    }
    return all;
}

node_core& virtual_fleet::core(const instance_id& instance) {
    return *nodes_.at(instance)->core;
}
fake_target& virtual_fleet::target(const instance_id& instance) {
    return *nodes_.at(instance)->target;
}
bool virtual_fleet::is_running(const instance_id& instance) const {
    return nodes_.at(instance)->is_running;
}

void virtual_fleet::start_core(const node_ptr& at) {
    auto settings = at->member.core;
    ++at->run;
    settings.incarnation = {random_()};
    settings.seed = random_();
    settings.key_secret = std::to_string(random_());
    settings.control_address = settings.peer_address;
    at->is_running = true;
    at->is_paused = false;
    at->pending_events.clear();
    at->core.emplace(settings);
    perform(at, at->core->start(clock_.now()));
}

void virtual_fleet::deliver(const node_ptr& at, std::uint64_t run, event what) {
    if (!at->is_running || at->run != run) {
        return;
    }
    if (at->is_paused) {
        at->pending_events.push_back(std::move(what));
        return;
    }
    step(at, what);
}

void virtual_fleet::step(const node_ptr& at, const event& what) {
    const bool target_up = at->target->is_up();
    if (target_up != at->reported_target_up) {
        at->reported_target_up = target_up;
        perform(at, at->core->step(clock_.now(), target_state_changed{target_up}));
        if (!at->is_running) {
            return;
        }
    }
    perform(at, at->core->step(clock_.now(), what));
}

void virtual_fleet::perform(const node_ptr& at, const actions& todo) {
    for (const auto& what : todo) {
        if (action_observer_) {
            action_observer_(at->member.core.self, what);
        }
        std::visit(overloaded{
                       [](const write_log_record&) {},
                       [&](const auto& other) { perform(at, other); },
                   },
                   what);
    }
}

void virtual_fleet::perform(const node_ptr& at, const send_response& what) {
    const auto found = at->arrived.find(what.call);
    if (found == at->arrived.end()) {
        return;
    }
    const auto call = found->second;
    at->arrived.erase(found);
    if (call->is_closed) {
        return;
    }
    if (call->on_response) {
        call->is_closed = true;
        call->on_response(what);
        return;
    }
    if (is_partitioned(*call->from, *at)) {
        return;
    }
    clock_.after(latency(*call->from, *at), [this, call, what] {
        const auto& from = call->from;
        if (call->is_closed || from->run != call->from_run ||
            from->attempts.erase(call->attempt) == 0) {
            return;
        }
        call->is_closed = true;
        deliver(from, call->from_run, attempt_answered{call->attempt, what.answer, what.info});
    });
}

void virtual_fleet::perform(const node_ptr& at, const start_attempt& what) {
    std::visit(overloaded{
                   [&](const target_destination&) { send_to_target(at, what); },
                   [&](const peer_destination& peer) { send_to_peer(at, what, peer.instance); },
               },
               what.to);
}

void virtual_fleet::send_to_target(const node_ptr& at, const start_attempt& what) {
    if (!at->target->is_up()) {
        clock_.after(0us, [this, at, run = at->run, attempt = what.attempt] {
            deliver(at, run, attempt_failed{attempt, attempt_failure::not_sent});
        });
        return;
    }
    at->attempts.emplace(what.attempt, nullptr);
    clock_.after(0us, [this, at, run = at->run, what] {
        if (at->run == run && at->attempts.contains(what.attempt)) {
            at->target->serve(what.attempt, what.request, *what.context);
        }
    });
}

void virtual_fleet::send_to_peer(const node_ptr& from, const start_attempt& what,
                                 const instance_id& to) {
    const auto found = nodes_.find(to);
    const auto fail = [this, from, run = from->run,
                       attempt = what.attempt](duration delay, attempt_failure failure) {
        clock_.after(delay, [this, from, run, attempt, failure] {
            if (from->run == run && from->attempts.erase(attempt) > 0) {
                deliver(from, run, attempt_failed{attempt, failure});
            }
        });
    };
    auto call = std::make_shared<wire_call>();
    call->from = from;
    call->from_run = from->run;
    call->attempt = what.attempt;
    from->attempts.emplace(what.attempt, call);
    if (found == nodes_.end() || is_partitioned(*from, *found->second)) {
        fail(network_.connect_timeout, attempt_failure::not_sent);
        return;
    }
    call->to = found->second;
    schedule_timeout(from, what);
    const auto one_way_latency = latency(*from, *call->to);
    clock_.after(one_way_latency, [this, call, what, fail, one_way_latency] {
        const auto& to = call->to;
        if (call->is_closed || is_partitioned(*call->from, *to)) {
            return;
        }
        if (!to->is_running) {
            fail(one_way_latency, attempt_failure::not_sent);
            return;
        }
        call->has_arrived = true;
        call->to_run = to->run;
        call->call = {++to->next_call};
        to->arrived.emplace(call->call, call);
        deliver(to, to->run,
                call_arrived{call->call, listener_kind::peer, what.request, what.context,
                             call->from->member.core.incarnation});
    });
}

void virtual_fleet::schedule_timeout(const node_ptr& from, const start_attempt& what) {
    clock_.after(what.timeout, [this, from, run = from->run, attempt = what.attempt] {
        if (from->run != run || !from->attempts.contains(attempt)) {
            return;
        }
        perform(from, cancel_attempt{attempt});
        deliver(from, run, attempt_failed{attempt, attempt_failure::timed_out});
    });
}

void virtual_fleet::call_from_target(const node_ptr& at, request_ptr request,
                                     const call_context& context, fake_target::call_done done) {
    if (call_observer_) {
        call_observer_(at->member.core.self, request, context);
    }
    if (!at->is_running) {
        clock_.after(0us, [done = std::move(done)] { done(0, {}, ""); });
        return;
    }
    auto call = std::make_shared<wire_call>();
    call->to = at;
    call->to_run = at->run;
    call->call = {++at->next_call};
    call->on_response = [this, done](const send_response& what) {
        clock_.after(0us, [done, what] {
            done(what.answer ? what.answer->status : refused_status, what.info,
                 what.answer ? what.answer->body : "");
        });
    };
    call->on_connection_lost = [this, done] { clock_.after(0us, [done] { done(0, {}, ""); }); };
    at->arrived.emplace(call->call, call);
    deliver(at, at->run,
            call_arrived{call->call, listener_kind::app, std::move(request), context, {}});
}

std::uint64_t virtual_fleet::submit(const instance_id& node, http_request request,
                                    caller_done done) {
    const auto submission = ++next_submission_;
    const auto at = nodes_.at(node);
    auto call = std::make_shared<wire_call>();
    call->to = at;
    const auto sent = clock_.now();
    const auto complete = [this, submission, done = std::move(done),
                           sent](const caller_result& result) {
        clock_.after(network_.caller_latency, [this, submission, done, sent, result] {
            if (submissions_.erase(submission) > 0) {
                auto delivered = result;
                delivered.sent = sent;
                delivered.ended = clock_.now();
                done(delivered);
            }
        });
    };
    call->on_response = [complete](const send_response& what) {
        caller_result result;
        result.status = what.answer ? what.answer->status : refused_status;
        result.info = what.info;
        result.body = what.answer ? what.answer->body : "";
        result.idempotency_key = what.idempotency_key;
        complete(result);
    };
    call->on_connection_lost = [complete] { complete({}); };
    submissions_.emplace(submission, call);
    auto shared = std::make_shared<const http_request>(std::move(request));
    clock_.after(network_.caller_latency, [this, call, shared] {
        const auto& to = call->to;
        if (call->is_closed) {
            return;
        }
        if (!to->is_running) {
            call->on_connection_lost();
            return;
        }
        call->to_run = to->run;
        call->call = {++to->next_call};
        call->has_arrived = true;
        to->arrived.emplace(call->call, call);
        deliver(to, to->run,
                call_arrived{call->call, listener_kind::caller, shared, std::nullopt, {}});
    });
    return submission;
}

void virtual_fleet::withdraw(std::uint64_t submission) {
    const auto found = submissions_.find(submission);
    if (found == submissions_.end()) {
        return;
    }
    const auto call = found->second;
    submissions_.erase(found);
    call->is_closed = true;
    if (call->has_arrived) {
        clock_.after(network_.caller_latency, [this, call] {
            call->to->arrived.erase(call->call);
            deliver(call->to, call->to_run, call_abandoned{call->call});
        });
    }
}

void virtual_fleet::perform(const node_ptr& at, const cancel_attempt& what) {
    const auto found = at->attempts.find(what.attempt);
    if (found == at->attempts.end()) {
        return;
    }
    const auto call = found->second;
    at->attempts.erase(found);
    if (!call) {
        at->target->cancel(what.attempt);
        return;
    }
    call->is_closed = true;
    if (!call->to || is_partitioned(*at, *call->to)) {
        return;
    }
    clock_.after(latency(*at, *call->to), [this, call] {
        if (call->has_arrived && call->to->arrived.erase(call->call) > 0) {
            deliver(call->to, call->to_run, call_abandoned{call->call});
        }
    });
}

void virtual_fleet::perform(const node_ptr& at, const arm_timer& what) {
    const auto timer = ++at->timer;
    clock_.at(std::max(what.at, clock_.now() + min_timer_delay), [this, at, run = at->run, timer] {
        if (at->timer == timer) {
            deliver(at, run, timer_fired{});
        }
    });
}

void virtual_fleet::perform(const node_ptr& at, const platform_read& what) {
    ++platform_calls_;
    clock_.after(network_.platform_latency, [this, at, run = at->run, what] {
        if (what.wait > 0us) {
            answer_platform_read(at, run, what);
        } else {
            answer_platform_read(at, run, {what.document, what.after, 0us});
        }
    });
}

void virtual_fleet::answer_platform_read(const node_ptr& at, std::uint64_t run,
                                         const platform_read& what) {
    if (at->run != run || !at->is_running) {
        return;
    }
    const bool unreachable =
        platform_mode_ == platform_mode::down || is_partitioned(at->domain(), platform_domain);
    if (unreachable || platform_mode_ == platform_mode::hanging) {
        clock_.after(unreachable ? 1ms : platform_timeout, [this, at, run, what] {
            deliver(at, run, platform_read_failed{what.document});
        });
        return;
    }
    const auto& document = documents_[what.document];
    if (platform_mode_ == platform_mode::garbage) {
        deliver(at, run, document_received{what.document, {document.at.value + 1}, "\x01garbage"});
        return;
    }
    if (platform_mode_ == platform_mode::stale && document.at.value > 1) {
        deliver(at, run,
                document_received{what.document, {document.at.value - 1}, document.previous});
        return;
    }
    if (document.at > what.after) {
        deliver(at, run, document_received{what.document, document.at, document.text});
    } else if (what.wait <= 0us) {
        deliver(at, run, document_unchanged{what.document});
    } else {
        clock_.after(std::min(platform_poll_interval, what.wait), [this, at, run, what] {
            answer_platform_read(at, run,
                                 {what.document, what.after, what.wait - platform_poll_interval});
        });
    }
}

void virtual_fleet::perform(const node_ptr& at, const send_control& what) {
    const auto found = nodes_.find(what.to);
    if (found == nodes_.end() || is_partitioned(*at, *found->second)) {
        return;
    }
    const auto to = found->second;
    const int copies = random_.unit() < network_.control_duplicates ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        if (random_.unit() < network_.control_loss) {
            continue;
        }
        const auto jitter =
            duration(static_cast<duration::rep>(random_.below(network_.control_jitter.count())));
        clock_.after(latency(*at, *to) + jitter,
                     [this, to, from = at->member.core.self, message = what.message] {
                         deliver(to, to->run, control_message_received{from, message});
                     });
    }
}

void virtual_fleet::perform(const node_ptr& at, const exit_process&) {
    aborted_by_exit_ += static_cast<std::uint64_t>(
        std::count_if(at->arrived.begin(), at->arrived.end(),
                      [](const auto& entry) { return !entry.second->is_closed; }));
    drop_connections(at);
    at->is_running = false;
}

void virtual_fleet::drop_connections(const node_ptr& at) {
    auto arrived = std::move(at->arrived);
    at->arrived.clear();
    for (const auto& entry : arrived) {
        const auto call = entry.second;
        if (call->is_closed) {
            continue;
        }
        if (call->on_connection_lost) {
            call->on_connection_lost();
            continue;
        }
        clock_.after(latency(*call->from, *at), [this, call] {
            if (call->from->attempts.erase(call->attempt) > 0) {
                deliver(call->from, call->from_run,
                        attempt_failed{call->attempt, attempt_failure::connection_lost});
            }
        });
    }
    auto attempts = std::move(at->attempts);
    at->attempts.clear();
    for (const auto& entry : attempts) {
        const auto attempt = entry.first;
        const auto call = entry.second;
        if (!call) {
            at->target->cancel(attempt);
            continue;
        }
        call->is_closed = true;
        if (call->has_arrived && !is_partitioned(*at, *call->to)) {
            clock_.after(latency(*at, *call->to), [this, call] {
                if (call->to->arrived.erase(call->call) > 0) {
                    deliver(call->to, call->to_run, call_abandoned{call->call});
                }
            });
        }
    }
}

void virtual_fleet::publish(document_id document, std::string text) {
    auto& entry = documents_[document];
    entry.previous = std::move(entry.text);
    entry.text = std::move(text);
    ++entry.at.value;
}

void virtual_fleet::publish_members(const std::set<instance_id>& leaving) {
    std::string text = std::string(member_header) + "\n";
    for (const auto& [instance, at] : nodes_) {
        if (!at->is_running) {
            continue;
        }
        const auto& core = at->member.core;
        const auto state = leaving.contains(instance) ? member_state::leaving : member_state::live;
        text += format_member({instance, core.service, core.domain, core.region, core.peer_address,
                               core.peer_address, state}) +
                "\n";
    }
    publish(document_id::instances, text);
}

revision virtual_fleet::published(document_id document) const {
    const auto found = documents_.find(document);
    return found == documents_.end() ? revision{} : found->second.at;
}

void virtual_fleet::cut(const std::string& one, const std::string& other) {
    partitions_.insert(std::minmax(one, other));
}

void virtual_fleet::heal(const std::string& one, const std::string& other) {
    partitions_.erase(std::minmax(one, other));
}

void virtual_fleet::pause(const instance_id& instance) {
    nodes_.at(instance)->is_paused = true;
}

void virtual_fleet::resume(const instance_id& instance) {
    const auto at = nodes_.at(instance);
    if (!at->is_paused) {
        return;
    }
    at->is_paused = false;
    auto pending_events = std::move(at->pending_events);
    at->pending_events.clear();
    for (const auto& what : pending_events) {
        if (at->is_running) {
            step(at, what);
        }
    }
}

void virtual_fleet::kill(const instance_id& instance) {
    const auto at = nodes_.at(instance);
    if (!at->is_running) {
        return;
    }
    at->is_running = false;
    at->is_paused = false;
    drop_connections(at);
}

void virtual_fleet::restart(const instance_id& instance) {
    const auto at = nodes_.at(instance);
    kill(instance);
    start_core(at);
}

void virtual_fleet::stop(const instance_id& instance) {
    const auto at = nodes_.at(instance);
    deliver(at, at->run, stop_requested{});
}

void virtual_fleet::reset_connections(const instance_id& instance) {
    const auto at = nodes_.at(instance);
    const auto arrived = at->arrived;
    const auto attempts = at->attempts;
    drop_connections(at);
    for (const auto& [call, ignored] : arrived) {
        deliver(at, at->run, call_abandoned{call});
    }
    for (const auto& [attempt, ignored] : attempts) {
        deliver(at, at->run, attempt_failed{attempt, attempt_failure::connection_lost});
    }
}

duration virtual_fleet::latency(const node& from, const node& to) const {
    if (from.member.core.domain == to.member.core.domain) {
        return network_.same_domain_latency;
    }
    return from.member.core.region == to.member.core.region ? network_.other_domain_latency
                                                            : network_.other_region_latency;
}

bool virtual_fleet::is_partitioned(const std::string& one, const std::string& other) const {
    return partitions_.contains(std::minmax(one, other));
}

bool virtual_fleet::is_partitioned(const node& one, const node& other) const {
    return is_partitioned(one.domain(), other.domain());
}

} // namespace trefoil
