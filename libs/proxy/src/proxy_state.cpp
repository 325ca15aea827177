#include "proxy_state.hpp"

#include <set>

#include <fmt/format.h>
#include <unistd.h>

#include <trefoil/base/hash.hpp>
#include <trefoil/http1/loop_timer.hpp>
#include <trefoil/proxy/registry_follower.hpp>
#include <trefoil/workspace/revocation_guard.hpp>

namespace trefoil {
namespace {

constexpr log_rates rates{};
/// Makes the salt of keys differ from the other random numbers of the process.
constexpr std::uint64_t key_salt_seed = 3;
/// A stopping node starts work for callers for this long.
constexpr duration request_cutoff_time = 2900ms;
/// Limits of the connection pool to each peer. The idle timeout at the receiving peer is longer.
constexpr http1::connection_pool_limits peer_limits{32, std::chrono::milliseconds(30'000)};

} // namespace

proxy_state::proxy_state(uv_loop_s* event_loop, proxy_settings initial_settings, std::uint64_t seed)
    : loop(event_loop), key_salt(mix_hash(seed, key_salt_seed)),
      settings(std::move(initial_settings)), log(STDOUT_FILENO, rates),
      placer(settings.domain, seed), retry_limiter(settings.retry_bound),
      quotas(settings.quota, seed, [this](const limiting_change& change) { log_limiting(change); }),
      rotation(seed), peers(event_loop, peer_limits),
      crashes(event_loop, settings.target, seed,
              [this](const crash_notice& notice) { broadcast_crash(notice); }),
      dispatcher(
          event_loop, settings.target, settings.header_names, crashes,
          [this](const target_announcement& announced) { handle_announcement(announced); },
          [this](const target_answer_report& report) { handle_answer(report); }),
      random(seed + 1) {}

time_point proxy_state::now() const {
    return http1::loop_time(loop);
}

bool proxy_state::is_past_request_cutoff() const {
    return is_stopping && now() - stop_began > request_cutoff_time;
}

bool proxy_state::is_placed_by_work(const service_name& service) const {
    const bool has_workspaces = routes != nullptr && routes->workspaces() != nullptr;
    return uses_expected_work(directory.usable(service), has_workspaces);
}

bool proxy_state::are_keys_current() const {
    if (!settings.revocation_bound) {
        return true;
    }
    const registry_bounds bounds{settings.stable_window, settings.drain_time,
                                 settings.config_apply_time, settings.revocation_bound};
    const revocation_guard guard(*settings.revocation_bound,
                                 registry_timing_for(bounds, false).watch_wait);
    return guard.admits(registry_age());
}

void proxy_state::handle_announcement(const target_announcement& announced) {
    if (announced.rate_limit != logged_announcement.rate_limit) {
        add_log_record(log_class::state_change, [&] {
            const auto limit =
                announced.rate_limit ? fmt::format("{:g}", *announced.rate_limit) : "-";
            return log_record{
                log_event::target_limit_changed,
                {{"limit", limit}, {"sent", std::to_string(dispatcher.counts().requests)}}};
        });
    }
    if (announced.is_leaving && !logged_announcement.is_leaving) {
        add_log_record(log_class::state_change, [] {
            return log_record{log_event::target_leaving, {}};
        });
        if (const auto* local_entry = directory.at_address(settings.target)) {
            set_leaving(local_entry->id, local_entry->started_at_ms);
        }
    }
    logged_announcement = announced;
}

void proxy_state::handle_answer(const target_answer_report& report) {
    if (report.fate != answer_fate::passed_on) {
        metrics.count_rejected_answer(report.fate, report.cause);
    }
    add_log_record(log_class_of(report.fate), [&] { return to_record(report); });
}

void proxy_state::handle_cut(const http1::cut_answers& cut, answer_receiver receiver) {
    metrics.count_cut_answer(cut.cause);
    add_log_record(log_class::failure,
                   [&] { return to_record(cut, receiver, settings.header_names); });
}

void proxy_state::set_leaving(const instance_id& instance, std::int64_t started_at_ms) {
    const auto change = directory.announce_leaving(now(), instance, started_at_ms);
    if (change != directory_change::draining) {
        return;
    }
    update_gate();
    add_log_record(log_class::state_change, [&] {
        return log_record{log_event::instance_leaving,
                          {{"instance", instance.str()}, {"cause", "announced"}}};
    });
}

void proxy_state::update_gate() {
    const auto* listed = directory.at_address(settings.target);
    if (listed != nullptr) {
        local_instance = listed->id;
    }
    const bool may_start = listed != nullptr && listed->state == listed_state::ready;
    dispatcher.set_leaving_instance(may_start ? std::nullopt : local_instance);
}

void proxy_state::log_limiting(const limiting_change& change) {
    add_log_record(log_class::state_change, [&] {
        const auto age =
            change.news_age ? std::to_string(whole_ms(*change.news_age).count()) : std::string("-");
        return log_record{change.is_limited ? log_event::workspace_limited
                                            : log_event::workspace_unlimited,
                          {{"workspace", change.workspace.str()},
                           {"rate", fmt::format("{:g}", change.limit.requests_per_second)},
                           {"burst", fmt::format("{:g}", change.limit.burst)},
                           {"share", fmt::format("{:.4f}", change.share)},
                           {"age_ms", age}}};
    });
}

void proxy_state::broadcast_crash(const crash_notice& notice) {
    add_log_record(log_class::state_change, [&] {
        return log_record{log_event::target_down,
                          {{"death", fmt::format("{:x}", notice.crash_id)},
                           {"requests", std::to_string(notice.requests.size())}}};
    });
    http1::request_head head;
    head.method = "POST";
    head.target = "/";
    head.headers = {{std::string(crash_field), encode_crash_notice(notice)}};
    std::set<std::string> notified = {settings.target.ip};
    for (const auto& ip : directory.ips()) {
        if (!notified.insert(ip).second) {
            continue;
        }
        const auto number = next_notice_id++;
        pending_notices[number] =
            peers.start({ip, settings.peer_listener.port}, head, {}, true, {},
                        [this, number](const http1::exchange_event& event) {
                            const bool is_finished =
                                std::holds_alternative<http1::message_end>(event) ||
                                std::holds_alternative<http1::exchange_failure>(event);
                            if (is_finished) {
                                pending_notices.erase(number);
                            }
                        });
    }
}

} // namespace trefoil
