#include <trefoil/proxy/proxy_node.hpp>

#include <array>
#include <csignal>
#include <limits>
#include <vector>

#include <fmt/format.h>
#include <uv.h>

#include <trefoil/http1/header_rules.hpp>
#include <trefoil/http1/loop_timer.hpp>
#include <trefoil/http1/server.hpp>

#include "inbound_call.hpp"
#include "local_response.hpp"
#include "outbound_call.hpp"
#include "proxy_state.hpp"
#include "quota_exchange.hpp"
#include "registry_sync.hpp"
#include "stop_step.hpp"
#include "work_metrics.hpp"

namespace trefoil {
namespace {

/// Time between two housekeeping runs.
constexpr duration housekeeping_interval = 250ms;
/// Number of housekeeping runs between two reloads of the settings and sweeps of idle connections.
constexpr std::uint64_t slow_housekeeping_period = 4;
/// A gap between two housekeeping runs that is longer than this is logged.
constexpr duration min_logged_gap = 1500ms;
/// Connections between nodes are closed by the sender first; its idle timeout is shorter.
constexpr std::chrono::milliseconds peer_idle_timeout{60'000};
constexpr std::uint64_t peer_max_body_bytes = 1ULL << 40U;
constexpr std::size_t peer_max_head_bytes = 131072;
/// Bytes of a request body that wait for a call to take them. Calls take what they can pass on.
constexpr std::size_t max_waiting_body_bytes = 64U << 10U;

http1::server_limits limits_of(const sender_limits& limits) {
    http1::server_limits made;
    made.max_head_bytes = limits.max_header_bytes;
    made.max_body_bytes = limits.max_body_bytes;
    made.head_timeout = whole_ms(limits.header_timeout);
    made.idle_timeout = whole_ms(limits.idle_timeout);
    made.max_waiting_body_bytes = max_waiting_body_bytes;
    return made;
}

http1::server_limits peer_limits() {
    http1::server_limits made;
    made.max_head_bytes = peer_max_head_bytes;
    made.max_body_bytes = peer_max_body_bytes;
    made.idle_timeout = peer_idle_timeout;
    made.max_waiting_body_bytes = max_waiting_body_bytes;
    return made;
}

} // namespace

class proxy_node::impl {
public:
    impl(uv_loop_t* loop, proxy_settings settings, platform_access sources, std::uint64_t seed)
        : state_(loop, std::move(settings), seed), sources_(std::move(sources)),
          registry_(state_, *sources_.registry, seed + 2), quotas_(state_),
          housekeeping_(loop, [this] { run_housekeeping(); }) {}

    ~impl() {
        for (auto* handle : signals_) {
            uv_close(reinterpret_cast<uv_handle_t*>(handle),
                     [](uv_handle_t* closed) { delete reinterpret_cast<uv_signal_t*>(closed); });
        }
    }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    absl::Status open() {
        const auto& settings = state_.settings;
        const std::array<std::pair<std::unique_ptr<http1::server>*, listener>, 4> listeners = {{
            {&callers_,
             {settings.caller_listener, limits_of({}),
              [this](auto request) { serve_caller(std::move(request)); }}},
            {&peers_,
             {settings.peer_listener, peer_limits(),
              [this](auto request) { serve_peer(std::move(request)); }}},
            {&ready_,
             {settings.ready_listener, peer_limits(),
              [this](auto request) { answer_ready(*request); }}},
            {&metrics_,
             {settings.metrics_listener, peer_limits(),
              [this](auto request) { answer_metrics(*request); }}},
        }};
        for (const auto& [slot, wanted] : listeners) {
            auto opened =
                http1::server::listen(state_.loop, wanted.where, wanted.limits, wanted.on_request);
            if (!opened.ok()) {
                return opened.status();
            }
            *slot = std::move(*opened);
            (*slot)->set_body_memory(state_.bodies);
        }
        callers_->set_cut_handler(
            [this](const auto& cut) { state_.handle_cut(cut, answer_receiver::caller); });
        peers_->set_cut_handler(
            [this](const auto& cut) { state_.handle_cut(cut, answer_receiver::node); });
        watch_signal(SIGTERM, [](uv_signal_t* handle, int) { impl_of(handle).stop(); });
        watch_signal(SIGINT, [](uv_signal_t* handle, int) { impl_of(handle).stop(); });
        watch_signal(SIGHUP, [](uv_signal_t* handle, int) { impl_of(handle).reload(); });
        housekeeping_.start_repeating(housekeeping_interval);
        state_.registry_age = [this] { return registry_.copy_age(); };
        registry_.start();
        log_start();
        return absl::OkStatus();
    }

    int run() {
        uv_run(state_.loop, UV_RUN_DEFAULT);
        return 0;
    }

private:
    struct listener {
        endpoint where;
        http1::server_limits limits;
        http1::server::request_handler on_request;
    };

    static impl& impl_of(uv_signal_t* handle) { return *static_cast<impl*>(handle->data); }

    void watch_signal(int number, uv_signal_cb callback) {
        auto* handle = new uv_signal_t;
        signals_.push_back(handle);
        uv_signal_init(state_.loop, handle);
        handle->data = this;
        uv_signal_start(handle, callback, number);
    }

    void serve_caller(std::shared_ptr<http1::served_request> request) {
        if (state_.is_past_request_cutoff()) {
            request->respond(refusal_response(retry_delay(duration{0}, 0, state_.random)), {});
            state_.metrics.count_refusal(refusal::leaving);
            return;
        }
        outbound_call::serve(state_, std::move(request));
    }

    void serve_peer(std::shared_ptr<http1::served_request> request) {
        if (!find_header(request->head().headers, quota_field).empty()) {
            quotas_.serve(*request);
            return;
        }
        if (find_header(request->head().headers, poll_field).empty()) {
            inbound_call::serve(state_, std::move(request));
        } else {
            registry_.serve_poll(request);
        }
    }

    bool is_ready() const {
        return !state_.is_stopping && state_.routes != nullptr && registry_.has_read();
    }

    void answer_ready(http1::served_request& request) {
        request.respond(local_response(is_ready() ? 200 : 503), {});
    }

    void answer_metrics(http1::served_request& request) {
        request.respond(local_response(200), metrics_text());
    }

    /// The counters of short services, only where the configuration lists workspaces.
    std::string share_text() const {
        const bool is_on = state_.routes != nullptr && state_.routes->workspaces() != nullptr;
        return is_on ? state_.share_counts.text(state_.dispatcher.runs_turned_away()) : "";
    }

    std::string metrics_text() const {
        const auto load = state_.dispatcher.load();
        const auto rate_limit = state_.dispatcher.announcement().rate_limit.value_or(
            std::numeric_limits<double>::infinity());
        const auto& target = state_.dispatcher.counts();
        const auto& peers = state_.peers.counts();
        const auto& registry = registry_.counts();
        const auto age = registry_.has_read() ? registry_.copy_age() : registry_.staleness();
        return state_.metrics.text() + quotas_.metrics_text() + share_text() +
               work_metrics_text(state_) +
               fmt::format("# TYPE trefoil_target_in_flight gauge\n"
                           "trefoil_target_in_flight {}\n"
                           "# TYPE trefoil_target_queued gauge\n"
                           "trefoil_target_queued {}\n"
                           "# TYPE trefoil_target_limit gauge\n"
                           "trefoil_target_limit {}\n"
                           "# TYPE trefoil_target_rate_limit gauge\n"
                           "trefoil_target_rate_limit {}\n"
                           "# TYPE trefoil_target_requests_total counter\n"
                           "trefoil_target_requests_total {}\n"
                           "# TYPE trefoil_target_connections_total counter\n"
                           "trefoil_target_connections_total {}\n"
                           "# TYPE trefoil_peer_connections_total counter\n"
                           "trefoil_peer_connections_total {}\n"
                           "# TYPE trefoil_config_version gauge\n"
                           "trefoil_config_version {}\n"
                           "# TYPE trefoil_registry_answer_age_seconds gauge\n"
                           "trefoil_registry_answer_age_seconds {}\n"
                           "# TYPE trefoil_registry_requests_total counter\n"
                           "trefoil_registry_requests_total {}\n"
                           "# TYPE trefoil_registry_polls_sent_total counter\n"
                           "trefoil_registry_polls_sent_total {}\n"
                           "# TYPE trefoil_registry_polls_received_total counter\n"
                           "trefoil_registry_polls_received_total {}\n"
                           "# TYPE trefoil_instances gauge\n"
                           "trefoil_instances {}\n",
                           load.in_flight, load.queued, load.limit, rate_limit, target.requests,
                           target.connections_opened, peers.connections_opened,
                           state_.routes == nullptr ? 0 : state_.routes->config().version,
                           to_seconds(age), registry.requests, registry.polls_sent,
                           registry.polls_received, state_.directory.size());
    }

    void run_housekeeping() {
        const auto now = state_.now();
        if (last_run_ != time_point{} && now - last_run_ > min_logged_gap) {
            state_.add_log_record(log_class::state_change, [&] {
                return log_record{log_event::clock_gap,
                                  {{"ms", std::to_string(whole_ms(now - last_run_).count())}}};
            });
        }
        last_run_ = now;
        callers_->close_timed_out_connections();
        registry_.run_housekeeping();
        if (++housekeeping_runs_ % slow_housekeeping_period == 0) {
            peers_->close_timed_out_connections();
            ready_->close_timed_out_connections();
            metrics_->close_timed_out_connections();
            state_.peers.close_expired_connections();
            state_.dispatcher.sweep();
            reload();
        }
        apply_limits();
        quotas_.run_housekeeping();
        finish_stop(now);
        state_.log.flush(now);
    }

    void apply_limits() {
        if (state_.routes == nullptr || state_.routes->config().version == limits_version_) {
            return;
        }
        limits_version_ = state_.routes->config().version;
        callers_->set_limits(limits_of(state_.routes->config().limits));
    }

    void reload() {
        const auto read = sources_.reload();
        if (!read.ok()) {
            if (!is_reload_error_logged_) {
                is_reload_error_logged_ = true;
                state_.add_log_record(log_class::state_change, [&] {
                    return log_record{log_event::setting_invalid,
                                      {{"problem", std::string(read.status().message())}}};
                });
            }
            return;
        }
        is_reload_error_logged_ = false;
        if (*read == state_.settings) {
            return;
        }
        const bool needs_restart = read->caller_listener != state_.settings.caller_listener ||
                                   read->peer_listener != state_.settings.peer_listener ||
                                   read->target != state_.settings.target ||
                                   read->domain != state_.settings.domain;
        state_.settings.service = read->service;
        state_.settings.stop_timeout = read->stop_timeout;
        state_.settings.stable_window = read->stable_window;
        state_.settings.drain_time = read->drain_time;
        state_.settings.config_apply_time = read->config_apply_time;
        state_.settings.revocation_bound = read->revocation_bound;
        if (read->quota != state_.settings.quota) {
            state_.settings.quota = read->quota;
            state_.quotas.set_bounds(http1::boot_time(), read->quota);
        }
        if (read->retry_bound != state_.settings.retry_bound) {
            state_.settings.retry_bound = read->retry_bound;
            state_.retry_limiter = fleet_retry_limiter(read->retry_bound);
            state_.retry_limiter.set_nodes(state_.directory.size());
        }
        if (*read == state_.settings || is_restart_logged_) {
            return;
        }
        is_restart_logged_ = needs_restart;
        state_.add_log_record(log_class::state_change, [&] {
            return log_record{log_event::settings_reloaded,
                              {{"service", state_.settings.service.str()},
                               {"needs_restart", needs_restart ? "1" : "0"}}};
        });
    }

    void stop() {
        if (state_.is_stopping) {
            state_.add_log_record(log_class::state_change, [] {
                return log_record{log_event::second_stop_signal, {}};
            });
            return;
        }
        state_.is_stopping = true;
        state_.stop_began = state_.now();
        callers_->close_connections_after_answers();
        peers_->close_connections_after_answers();
        registry_.stop_serving_polls();
        state_.add_log_record(log_class::state_change, [&] {
            return log_record{log_event::node_stopping,
                              {{"calls", std::to_string(callers_->pending())},
                               {"runs", std::to_string(peers_->pending())}}};
        });
        state_.log.flush(state_.now());
    }

    void finish_stop(time_point now) {
        if (!state_.is_stopping) {
            return;
        }
        const auto pending = callers_->pending() + peers_->pending();
        stop_progress progress;
        progress.pending = pending;
        progress.has_unread_answers =
            pending == 0 && (callers_->has_unread_answers() || peers_->has_unread_answers());
        progress.since_signal = now - state_.stop_began;
        progress.since_last_request = now - state_.last_request;
        progress.stop_timeout = state_.settings.stop_timeout;
        if (next_stop_step(progress) == stop_step::wait) {
            return;
        }
        if (pending > 0) {
            state_.log.add({log_event::drain_limit_reached, {{"calls", std::to_string(pending)}}});
        }
        callers_->report_unread_answers();
        peers_->report_unread_answers();
        state_.log.add({log_event::node_stopped, {{"calls", std::to_string(pending)}}});
        state_.log.flush(now);
        uv_stop(state_.loop);
    }

    void log_start() {
        const auto& settings = state_.settings;
        state_.log.add({log_event::node_started,
                        {{"name", settings.name},
                         {"service", settings.service.str()},
                         {"domain", settings.domain.str()},
                         {"callers", to_string(settings.caller_listener)},
                         {"target", to_string(settings.target)}}});
        state_.log.flush(state_.now());
    }

    proxy_state state_;
    platform_access sources_;
    registry_sync registry_;
    quota_exchange quotas_;
    std::unique_ptr<http1::server> callers_;
    std::unique_ptr<http1::server> peers_;
    std::unique_ptr<http1::server> ready_;
    std::unique_ptr<http1::server> metrics_;
    http1::loop_timer housekeeping_;
    std::vector<uv_signal_t*> signals_;
    std::uint64_t housekeeping_runs_ = 0;
    std::uint64_t limits_version_ = 0;
    time_point last_run_;
    bool is_reload_error_logged_ = false;
    bool is_restart_logged_ = false;
};

proxy_node::proxy_node(uv_loop_s* loop, proxy_settings settings, platform_access sources,
                       std::uint64_t seed)
    : impl_(std::make_unique<impl>(loop, std::move(settings), std::move(sources), seed)) {}

proxy_node::~proxy_node() = default;

absl::Status proxy_node::open() {
    return impl_->open();
}

int proxy_node::run() {
    return impl_->run();
}

} // namespace trefoil
