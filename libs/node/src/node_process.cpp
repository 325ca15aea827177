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

/// Time that the shell gives an attempt beyond the core's own timeout.
constexpr std::chrono::milliseconds timeout_grace{100};
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
            open_listener(*settings_.caller_listener, caller_server_, listener::caller),
            open_listener(*settings_.app_listener, app_server_, listener::app),
            open_listener(*settings_.peer_listener, peer_server_, listener::peer),
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
    /// The exchange that a call came by.
    struct open_call {
        http_server* server = nullptr;
        exchange_id exchange = 0;
        listener from = listener::caller;
    };

    absl::Status open_listener(const endpoint& where, std::unique_ptr<http_server>& server,
                               listener from) {
        http_limits limits;
        limits.max_body_bytes = settings_.max_body_bytes;
        auto opened = http_server::listen(
            &loop_, where, limits,
            [this, &server, from](exchange_id exchange, http_request request) {
                on_request(*server, exchange, from, std::move(request));
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
                dispatch(control_received{from, std::move(message)});
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

    void on_request(http_server& server, exchange_id exchange, listener from,
                    http_request request) {
        const call_id call{++last_call_};
        open_calls_.emplace(call, open_call{&server, exchange, from});
        by_exchange_.emplace(std::pair(&server, exchange), call);
        auto arrived = read_call(call, from, std::move(request));
        if (arrived.ok()) {
            dispatch(*std::move(arrived));
            return;
        }
        write_log({log_event::bad_context_header,
                   {{"problem", std::string(arrived.status().message())}}});
        answer_info info;
        info.result = outcome::not_run;
        info.reason = refusal::bad_request;
        perform(respond{call, nullptr, info, {}});
    }

    absl::StatusOr<call_arrived> read_call(call_id call, listener from, http_request request) {
        call_arrived arrived;
        arrived.call = call;
        arrived.from = from;
        if (from == listener::peer) {
            auto read = read_peer_call(std::move(request));
            if (!read.ok()) {
                return read.status();
            }
            arrived.request = std::make_shared<const http_request>(std::move(read->request));
            arrived.context = std::move(read->context);
            arrived.sender = read->sender;
            return arrived;
        }
        if (from == listener::app) {
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

    /// Steps the core; events that come up while actions are performed wait their turn.
    void dispatch(event what) {
        pending_events_.push_back(std::move(what));
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

    void perform(const actions& todo) {
        for (const auto& what : todo) {
            std::visit([this](const auto& one) { perform(one); }, what);
        }
    }

    void perform(const respond& what) {
        const auto found = open_calls_.find(what.call);
        if (found == open_calls_.end()) {
            return;
        }
        const auto call = found->second;
        open_calls_.erase(found);
        by_exchange_.erase({call.server, call.exchange});
        call.server->respond(call.exchange,
                             call.from == listener::peer
                                 ? to_peer_answer(what.answer, what.info)
                                 : to_outer_answer(what.answer, what.info, what.idempotency_key));
    }

    void perform(const start_attempt& what) {
        exchange_limits limits;
        limits.timeout = whole_ms(what.timeout) + timeout_grace;
        limits.max_answer_bytes = what.max_answer_bytes;
        const auto sent = std::visit(
            overloaded{
                [&](const target_destination&) { return send_to_target(what, limits); },
                [&](const peer_destination& peer) { return send_to_peer(what, peer, limits); },
            },
            what.to);
        attempts_.emplace(what.attempt, sent);
    }

    http_client::request_id send_to_target(const start_attempt& what,
                                           const exchange_limits& limits) {
        return client_->send(*settings_.target, to_target_request(*what.request, *what.context),
                             limits, [this, attempt = what.attempt](exchange_result result) {
                                 attempts_.erase(attempt);
                                 const auto* failure = std::get_if<exchange_failure>(&result);
                                 if (failure != nullptr) {
                                     probe_->probe_now();
                                 }
                                 dispatch(target_event(attempt, std::move(result)));
                             });
    }

    http_client::request_id send_to_peer(const start_attempt& what, const peer_destination& peer,
                                         const exchange_limits& limits) {
        return client_->send(
            peer.address, to_peer_request(*what.request, what.context, core_settings_.incarnation),
            limits, [this, attempt = what.attempt](exchange_result result) {
                attempts_.erase(attempt);
                dispatch(peer_event(attempt, std::move(result)));
            });
    }

    void perform(const cancel_attempt& what) {
        const auto found = attempts_.find(what.attempt);
        if (found != attempts_.end()) {
            const auto sent = found->second;
            attempts_.erase(found);
            client_->cancel(sent);
        }
    }

    void perform(const arm_timer& what) {
        const auto wait = what.at - loop_now();
        const auto wait_ms = wait.count() <= 0 ? 0 : (wait.count() + 999) / 1000;
        uv_update_time(&loop_);
        uv_timer_start(
            &timer_,
            [](uv_timer_t* timer) { static_cast<impl*>(timer->data)->dispatch(timer_fired{}); },
            static_cast<std::uint64_t>(wait_ms), 0);
    }

    void perform(const platform_read& what) {
        platform_->read(what, [this, document = what.document](platform_result result) {
            dispatch(std::visit(
                overloaded{
                    [&](platform_document& read) -> event {
                        return document_read{document, read.at, std::move(read.text)};
                    },
                    [&](platform_unchanged) -> event { return document_unchanged{document}; },
                    [&](platform_problem problem) -> event {
                        if (problem == platform_problem::bad_answer) {
                            write_log({log_event::bad_platform_answer,
                                       {{"document", std::string(name_of(document))}}});
                        }
                        return platform_failed{document};
                    },
                },
                result));
        });
    }

    void perform(const send_control& what) { control_->send(what.address, what.message); }

    void perform(const write_record& what) { write_log(what.record); }

    void perform(const exit_process& what) {
        exit_code_ = what.code;
        probe_->stop();
        caller_server_->stop_accepting();
        app_server_->stop_accepting();
        peer_server_->stop_accepting();
        // Answers just given are still being written.
        uv_timer_start(
            &exit_timer_, [](uv_timer_t* timer) { uv_stop(timer->loop); }, exit_delay_ms, 0);
    }

    node_settings settings_;
    core_settings core_settings_;
    node_core core_;
    time_point started_;
    uv_loop_t loop_{};
    uv_timer_t timer_{};
    /// Apart from timer_, which the core arms again while it waits for other things.
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
    // The process ends here; connections still refer to the loop.
    static_cast<void>(impl_.release());
}

absl::Status node_process::open() {
    return impl_->open();
}
int node_process::run() {
    return impl_->run();
}

} // namespace trefoil
