#include <trefoil/node/node_process.hpp>

#include <csignal>
#include <deque>
#include <random>
#include <unordered_map>

#include <uv.h>

#include <trefoil/base/overloaded.hpp>
#include <trefoil/config_service/config_client.hpp>
#include <trefoil/control/control_channel.hpp>
#include <trefoil/http/http_client.hpp>
#include <trefoil/http/http_server.hpp>

#include "admin_pages.hpp"
#include "message_rules.hpp"
#include "target_probe.hpp"

namespace trefoil {
namespace {

/// Time by which the HTTP client's timeout exceeds the core's own timeout of an attempt.
constexpr std::chrono::milliseconds timeout_grace{100};
/// Delay before the loop stops, so that the last answers can still be written.
constexpr std::uint64_t exit_delay_ms = 100;

time_point loop_now() {
    return time_point(duration(uv_hrtime() / 1000));
}

std::uint64_t random_seed() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::string random_secret() {
    std::random_device device;
    std::string secret;
    while (secret.size() < key_secret_bytes) {
        secret.push_back(static_cast<char>(device()));
    }
    return secret;
}

} // namespace

class node_process::impl {
public:
    explicit impl(const node_settings& settings)
        : settings_(settings),
          core_settings_(to_core_settings(settings, random_seed(), random_secret())),
          core_(core_settings_), started_(loop_now()) {
        uv_loop_init(&loop_);
        client_ = std::make_unique<http_client>(&loop_);
        platform_ = std::make_unique<platform_client>(*client_, *settings_.platform);
        uv_timer_init(&loop_, &timer_);
        timer_.data = this;
        uv_timer_init(&loop_, &exit_timer_);
    }

    absl::Status open() {
        const auto opened = {
            open_listener(*settings_.caller_listener, caller_server_, listener_kind::caller),
            open_listener(*settings_.app_listener, app_server_, listener_kind::app),
            open_listener(*settings_.peer_listener, peer_server_, listener_kind::peer),
            open_admin(),
            open_control(),
        };
        for (const auto& status : opened) {
            if (!status.ok()) {
                return status;
            }
        }
        probe_ = std::make_unique<target_probe>(&loop_, *settings_.target, [this](bool is_up) {
            dispatch(target_state_changed{is_up});
        });
        return absl::OkStatus();
    }

    int run() {
        std::signal(SIGPIPE, SIG_IGN);
        watch_signal(SIGTERM, term_signal_);
        watch_signal(SIGINT, int_signal_);
        perform(core_.start(loop_now()));
        uv_run(&loop_, UV_RUN_DEFAULT);
        return exit_code_;
    }

private:
    /// The HTTP exchange on which a call arrived.
    struct open_call {
        http_server* server = nullptr;
        exchange_id exchange = 0;
        listener_kind received_on = listener_kind::caller;
    };

    absl::Status open_listener(const endpoint& where, std::unique_ptr<http_server>& server,
                               listener_kind received_on) {
        http_limits limits;
        limits.max_body_bytes = settings_.max_body_bytes;
        auto opened = http_server::listen(
            &loop_, where, limits,
            [this, &server, received_on](exchange_id exchange, http_request request) {
                on_request(*server, exchange, received_on, std::move(request));
            },
            [this, &server](exchange_id exchange) { on_closed(*server, exchange); });
        if (!opened.ok()) {
            return opened.status();
        }
        server = *std::move(opened);
        return absl::OkStatus();
    }

    absl::Status open_admin() {
        auto opened = http_server::listen(
            &loop_, *settings_.admin_listener, {},
            [this](exchange_id exchange, const http_request& request) {
                const auto status = core_.status();
                admin_server_->respond(
                    exchange,
                    admin_answer(request.path, {core_settings_, status, core_.metrics(),
                                                control_->traffic(), loop_now(), started_}));
            },
            [](exchange_id) {});
        if (!opened.ok()) {
            return opened.status();
        }
        admin_server_ = *std::move(opened);
        return absl::OkStatus();
    }

    absl::Status open_control() {
        auto opened = control_channel::listen(
            &loop_, *settings_.control_listener, core_settings_.self,
            [this](const instance_id& from, control_message message) {
                dispatch(control_message_received{from, std::move(message)});
            },
            [](const absl::Status& problem) {
                write_log({log_event::bad_control_message,
                           {{"problem", std::string(problem.message())}}});
            });
        if (!opened.ok()) {
            return opened.status();
        }
        control_ = *std::move(opened);
        return absl::OkStatus();
    }

    void watch_signal(int number, uv_signal_t& watcher) {
        uv_signal_init(&loop_, &watcher);
        watcher.data = this;
        uv_signal_start(
            &watcher,
            [](uv_signal_t* signal, int) {
                static_cast<impl*>(signal->data)->dispatch(stop_requested{});
            },
            number);
        uv_unref(reinterpret_cast<uv_handle_t*>(&watcher));
    }

    void on_request(http_server& server, exchange_id exchange, listener_kind received_on,
                    http_request request) {
        const call_id call{++last_call_};
        open_calls_.emplace(call, open_call{&server, exchange, received_on});
        by_exchange_.emplace(std::pair(&server, exchange), call);
        auto arrived = read_call(call, received_on, std::move(request));
        if (arrived.ok()) {
            dispatch(*std::move(arrived));
            return;
        }
        write_log({log_event::bad_context_header,
                   {{"problem", std::string(arrived.status().message())}}});
        answer_info info;
        info.result = outcome::not_run;
        info.reason = refusal::bad_request;
        perform(send_response{call, nullptr, info, {}});
    }

    absl::StatusOr<call_arrived> read_call(call_id call, listener_kind received_on,
                                           http_request request) {
        call_arrived arrived;
        arrived.call = call;
        arrived.received_on = received_on;
        if (received_on == listener_kind::peer) {
            auto read = read_peer_call(std::move(request));
            if (!read.ok()) {
                return read.status();
            }
            arrived.request = std::make_shared<const http_request>(std::move(read->request));
            arrived.context = std::move(read->context);
            arrived.sender_incarnation = read->sender;
            return arrived;
        }
        if (received_on == listener_kind::app) {
            auto context = app_context(request);
            if (!context.ok()) {
                return context.status();
            }
            arrived.context = *std::move(context);
            request.caller.clear();
        } else {
            request = clean_caller_request(std::move(request), core_settings_.service);
        }
        arrived.request = std::make_shared<const http_request>(std::move(request));
        return arrived;
    }

    void on_closed(http_server& server, exchange_id exchange) {
        const auto found = by_exchange_.find({&server, exchange});
        if (found == by_exchange_.end()) {
            return;
        }
        const auto call = found->second;
        by_exchange_.erase(found);
        open_calls_.erase(call);
        dispatch(call_abandoned{call});
    }

    /// Passes an event to the core and performs the resulting actions. Events that occur meanwhile
    /// are queued and processed in order.
    void dispatch(event incoming) {
        pending_events_.push_back(std::move(incoming));
        if (is_stepping_) {
            return;
        }
        is_stepping_ = true;
        while (!pending_events_.empty()) {
            const auto next = std::move(pending_events_.front());
            pending_events_.pop_front();
            perform(core_.step(loop_now(), next));
        }
        is_stepping_ = false;
    }

    void perform(const actions& batch) {
        for (const auto& each : batch) {
            std::visit([this](const auto& action) { perform(action); }, each);
        }
    }

    void perform(const send_response& response) {
        const auto found = open_calls_.find(response.call);
        if (found == open_calls_.end()) {
            return;
        }
        const auto call = found->second;
        open_calls_.erase(found);
        by_exchange_.erase({call.server, call.exchange});
        call.server->respond(call.exchange, call.received_on == listener_kind::peer
                                                ? to_peer_answer(response.answer, response.info)
                                                : to_caller_answer(response.answer, response.info,
                                                                   response.idempotency_key));
    }

    void perform(const start_attempt& start_action) {
        exchange_limits limits;
        limits.timeout = whole_ms(start_action.timeout) + timeout_grace;
        limits.max_answer_bytes = start_action.max_answer_bytes;
        const auto sent = std::visit(
            overloaded{
                [&](const target_destination&) { return send_to_target(start_action, limits); },
                [&](const peer_destination& peer) {
                    return send_to_peer(start_action, peer, limits);
                },
            },
            start_action.to);
        attempts_.emplace(start_action.attempt, sent);
    }

    http_client::request_id send_to_target(const start_attempt& start_action,
                                           const exchange_limits& limits) {
        return client_->send(
            *settings_.target, to_target_request(*start_action.request, *start_action.context),
            limits, [this, attempt = start_action.attempt](exchange_result result) {
                attempts_.erase(attempt);
                const auto* failure = std::get_if<exchange_failure>(&result);
                if (failure != nullptr) {
                    probe_->probe_now();
                }
                dispatch(target_event(attempt, std::move(result)));
            });
    }

    http_client::request_id send_to_peer(const start_attempt& start_action,
                                         const peer_destination& peer,
                                         const exchange_limits& limits) {
        return client_->send(peer.address,
                             to_peer_request(*start_action.request, start_action.context,
                                             core_settings_.incarnation),
                             limits,
                             [this, attempt = start_action.attempt](exchange_result result) {
                                 attempts_.erase(attempt);
                                 dispatch(peer_event(attempt, std::move(result)));
                             });
    }

    void perform(const cancel_attempt& cancellation) {
        const auto found = attempts_.find(cancellation.attempt);
        if (found != attempts_.end()) {
            const auto sent = found->second;
            attempts_.erase(found);
            client_->cancel(sent);
        }
    }

    void perform(const arm_timer& arming) {
        const auto wait = arming.at - loop_now();
        const auto wait_ms = wait.count() <= 0 ? 0 : (wait.count() + 999) / 1000;
        uv_update_time(&loop_);
        uv_timer_start(
            &timer_,
            [](uv_timer_t* timer) { static_cast<impl*>(timer->data)->dispatch(timer_fired{}); },
            static_cast<std::uint64_t>(wait_ms), 0);
    }

    void perform(const platform_read& query) {
        platform_->read(query, [this, document = query.document](platform_result result) {
            dispatch(std::visit(
                overloaded{
                    [&](platform_document& read) -> event {
                        return document_received{document, read.document_revision,
                                                 std::move(read.text)};
                    },
                    [&](platform_unchanged) -> event { return document_unchanged{document}; },
                    [&](platform_error problem) -> event {
                        if (problem == platform_error::bad_answer) {
                            write_log({log_event::bad_platform_answer,
                                       {{"document", std::string(name_of(document))}}});
                        }
                        return platform_read_failed{document};
                    },
                },
                result));
        });
    }

    void perform(const send_control& outgoing) {
        control_->send(outgoing.address, outgoing.message);
    }

    void perform(const write_log_record& entry) { write_log(entry.record); }

    void perform(const exit_process& exit_action) {
        exit_code_ = exit_action.code;
        probe_->stop();
        caller_server_->stop_accepting();
        app_server_->stop_accepting();
        peer_server_->stop_accepting();
        uv_timer_start(
            &exit_timer_, [](uv_timer_t* timer) { uv_stop(timer->loop); }, exit_delay_ms, 0);
    }

    node_settings settings_;
    core_settings core_settings_;
    node_core core_;
    time_point started_;
    uv_loop_t loop_{};
    uv_timer_t timer_{};
    /// Separate from timer_, because the core can re-arm timer_ while the exit is pending.
    uv_timer_t exit_timer_{};
    uv_signal_t term_signal_{};
    uv_signal_t int_signal_{};
    std::unique_ptr<http_client> client_;
    std::unique_ptr<platform_client> platform_;
    std::unique_ptr<http_server> caller_server_;
    std::unique_ptr<http_server> app_server_;
    std::unique_ptr<http_server> peer_server_;
    std::unique_ptr<http_server> admin_server_;
    std::unique_ptr<control_channel> control_;
    std::unique_ptr<target_probe> probe_;
    std::unordered_map<call_id, open_call> open_calls_;
    std::map<std::pair<http_server*, exchange_id>, call_id> by_exchange_;
    std::unordered_map<attempt_id, http_client::request_id> attempts_;
    std::deque<event> pending_events_;
    std::uint64_t last_call_ = 0;
    bool is_stepping_ = false;
    int exit_code_ = 0;
};

node_process::node_process(const node_settings& settings)
    : impl_(std::make_unique<impl>(settings)) {}

node_process::~node_process() {
    // The implementation is leaked on purpose: open connections still refer to the loop, and the
    // process exits right after this.
    static_cast<void>(impl_.release());
}

absl::Status node_process::open() {
    return impl_->open();
}
int node_process::run() {
    return impl_->run();
}

} // namespace trefoil
