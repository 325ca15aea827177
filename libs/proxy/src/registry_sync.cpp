#include "registry_sync.hpp"

#include <algorithm>

#include <trefoil/base/overloaded.hpp>

namespace trefoil {
namespace {

/// Time after the start of the node in which it uses the shorter delay between watches, since the
/// instances may have been started together with it.
constexpr duration startup_period = 6s;

/// Time between two reads of the list of nodes while it is being filled.
constexpr duration list_interval = 400ms;

registry_bounds bounds_of(const proxy_settings& settings) {
    return {settings.stable_window, settings.drain_time, settings.config_apply_time,
            settings.revocation_bound};
}

/// Returns a time at which the registry had no changes for a watch that was answered now: it has
/// waited first, unless it has cut the wait short. Its clock may be a little faster.
time_point time_of_empty_answer(time_point started, duration wait) {
    constexpr duration::rep tolerance = 10;
    const auto waited_until = started + wait - wait / tolerance;
    return http1::boot_time() >= waited_until ? waited_until : started;
}

std::string ms_text(duration value) {
    return std::to_string(whole_ms(value).count());
}

} // namespace

registry_sync::registry_sync(proxy_state& state, registry_client& client, std::uint64_t seed)
    : state_(state), client_(client), started_(http1::boot_time()), view_(state, client),
      follower_(seed, registry_timing_for(bounds_of(state.settings), true)),
      sharing_({state.settings.target.ip, state.settings.domain}, seed, started_),
      poller_(state.loop), last_merge_(started_),
      timer_(state.loop, [this] { continue_after_pause(); }),
      hold_timer_(state.loop, [this] { view_.drop_expired(); }) {}

duration registry_sync::staleness() const {
    return sharing_.staleness(http1::boot_time());
}

duration registry_sync::copy_age() const {
    return sharing_.copy_age(http1::boot_time());
}

void registry_sync::list_nodes() {
    update_bounds();
    const auto timing = registry_timing_for(bounds_of(state_.settings), true);
    note_request("list");
    const request_timeouts timeouts{timing.answer_timeout, timing.answer_timeout};
    client_.read(registry_topic::instances, read_consistency::serializable, timeouts,
                 [this](const registry_result& listed) {
                     is_requesting_ = false;
                     if (take_list(listed)) {
                         pause(list_interval);
                         return;
                     }
                     is_listing_ = false;
                     sharing_.start(http1::boot_time());
                     step();
                     poll();
                 });
}

bool registry_sync::take_list(const registry_result& listed) {
    const auto* found = std::get_if<registry_changes>(&listed);
    if (found == nullptr) {
        return false;
    }
    std::vector<sharing_node> nodes;
    for (const auto& record : found->records) {
        const auto change = client_.decode(record);
        const auto* instance = change ? std::get_if<listed_instance>(&*change) : nullptr;
        if (instance != nullptr && instance->state == listed_state::ready) {
            nodes.push_back({instance->target.ip, instance->domain});
        }
    }
    sharing_.set_nodes(nodes);
    const auto before = std::exchange(listed_nodes_, nodes.size());
    const bool is_being_filled = nodes.empty() || (before && *before != nodes.size());
    return is_being_filled && http1::boot_time() - started_ < sharing_.timing().read_after;
}

void registry_sync::continue_after_pause() {
    is_pausing_ = false;
    if (is_listing_) {
        list_nodes();
    } else {
        step();
    }
}

void registry_sync::update_nodes() {
    std::vector<sharing_node> nodes;
    state_.directory.visit([&](const listed_instance& listed) {
        if (listed.state == listed_state::ready) {
            nodes.push_back({listed.target.ip, listed.domain});
        }
    });
    sharing_.set_nodes(nodes);
}

void registry_sync::update_bounds() {
    const auto bounds = bounds_of(state_.settings);
    const bool is_settling = http1::boot_time() - started_ < startup_period;
    follower_.set_timing(registry_timing_for(bounds, is_settling, role()));
    sharing_.set_bounds(bounds);
}

reading_role registry_sync::role() const {
    if (!sharing_.is_sharing()) {
        return reading_role::for_itself;
    }
    return sharing_.is_reader(http1::boot_time()) ? reading_role::for_others
                                                  : reading_role::fallback;
}

void registry_sync::step() {
    if (is_listing_ || is_requesting_ || is_pausing_) {
        return;
    }
    update_bounds();
    const auto wait = sharing_.time_to_read(http1::boot_time());
    if (wait > duration{0}) {
        timer_.start(wait);
        return;
    }
    std::visit(overloaded{[&](const read_registry& next) { read_config(next.answer_timeout); },
                          [&](const watch_registry& next) { watch(next); },
                          [&](const delay_next_request& rest) { pause(rest.delay); }},
               follower_.next_step());
}

void registry_sync::pause(duration delay) {
    is_pausing_ = true;
    timer_.start(delay);
}

void registry_sync::note_request(std::string_view call) {
    is_requesting_ = true;
    ++counts_.requests;
    request_ = {call, http1::boot_time()};
}

void registry_sync::read_config(duration answer_timeout) {
    note_request("read");
    client_.read(registry_topic::config, read_consistency::linearizable,
                 {follower_.connect_timeout(), answer_timeout},
                 [this, answer_timeout](registry_result result) {
                     auto read = accept_result(std::move(result));
                     if (!read) {
                         step();
                         return;
                     }
                     read_instances(answer_timeout, std::move(*read));
                 });
}

void registry_sync::read_instances(duration answer_timeout, registry_changes config) {
    const auto started = request_.started;
    note_request("read");
    client_.read(
        registry_topic::instances, read_consistency::linearizable,
        {follower_.connect_timeout(), answer_timeout},
        [this, started, config = std::move(config)](registry_result result) {
            auto read = accept_result(std::move(result));
            if (read && read->era != config.era) {
                // The registry came back from a copy between the two reads.
                begin_era();
            } else if (read) {
                // The configuration is watched from the revision of its own read, which
                // came first.
                const auto revision = std::min(config.revision, read->revision);
                follower_.record_success(revision, true);
                auto records = std::move(read->records);
                records.insert(records.end(), config.records.begin(), config.records.end());
                merge({true, std::move(records), revision, read->era}, "read", started, started);
            }
            step();
        });
}

void registry_sync::watch(const watch_registry& next) {
    note_request("watch");
    const auto wait = next.wait;
    const auto era = view_.replica().position().era;
    client_.watch(next.after_revision, next.wait,
                  {follower_.connect_timeout(), next.answer_timeout},
                  [this, wait, era](registry_result result) {
                      auto seen = accept_result(std::move(result));
                      const auto known_era = view_.replica().position().era;
                      if (seen && seen->era > known_era) {
                          begin_era();
                      } else if (seen && era == known_era) {
                          follower_.record_success(seen->revision, seen->has_events);
                          const auto confirmed_at =
                              seen->has_events ? request_.started
                                               : time_of_empty_answer(request_.started, wait);
                          const auto revision = seen->has_events ? seen->revision : 0;
                          merge({false, std::move(seen->records), revision, era}, "watch",
                                request_.started, confirmed_at);
                      }
                      step();
                  });
}

std::optional<registry_changes> registry_sync::accept_result(registry_result result) {
    is_requesting_ = false;
    if (const auto* why = std::get_if<registry_error>(&result)) {
        follower_.record_failure(*why);
        handle_failure(*why);
        return std::nullopt;
    }
    auto changes = std::move(std::get<registry_changes>(result));
    const auto known_era = view_.replica().position().era;
    if (changes.era == 0) {
        changes.era = known_era;
    }
    if (changes.era < known_era) {
        follower_.record_failure(registry_error::outdated);
        handle_failure(registry_error::outdated);
        return std::nullopt;
    }
    log_era(changes);
    return changes;
}

void registry_sync::begin_era() {
    follower_.begin_era(std::nullopt);
    state_.add_log_record(log_class::state_change, [&] {
        return log_record{log_event::registry_read_again, {{"cause", "era"}}};
    });
}

void registry_sync::log_era(const registry_changes& changes) {
    const auto before = std::exchange(logged_era_, changes.era);
    if (before == changes.era) {
        return;
    }
    state_.add_log_record(log_class::state_change, [&] {
        return log_record{log_event::registry_era_changed,
                          {{"era", std::to_string(changes.era)},
                           {"before", std::to_string(before)},
                           {"revision", std::to_string(changes.revision)},
                           {"known_revision", std::to_string(view_.replica().revision())},
                           {"call", std::string(request_.call)}}};
    });
}

void registry_sync::merge(registry_difference difference, std::string_view call, time_point started,
                          time_point confirmed_at) {
    const auto now = http1::boot_time();
    const bool has_changes = difference.is_complete || !difference.records.empty();
    if (has_read_ && difference.era > view_.replica().position().era) {
        // What the copy lacks is written again within a while.
        state_.directory.source_lost();
    }
    handle_success();
    view_.merge(std::move(difference), {call, now - started, now - last_merge_});
    last_merge_ = now;
    has_read_ = true;
    if (has_changes) {
        update_nodes();
    }
    sharing_.record_confirmation(confirmed_at);
    poll_server_.answer_all(now, state_for_polls());
}

void registry_sync::handle_failure(registry_error why) {
    if (why == registry_error::history_gone) {
        state_.add_log_record(log_class::state_change, [&] {
            return log_record{log_event::registry_read_again, {}};
        });
        return;
    }
    const auto now = http1::boot_time();
    sharing_.record_failed_read(now);
    last_failure_began_ = request_.started;
    ++failures_;
    const bool is_lost =
        follower_.is_registry_lost() && (!sharing_.is_sharing() || sharing_.is_registry_lost(now));
    if (is_lost) {
        state_.directory.source_lost();
    }
    poll_server_.answer_all(now, state_for_polls());
    poll();
    if (is_outage_logged_) {
        return;
    }
    is_outage_logged_ = true;
    state_.add_log_record(log_class::state_change, [&] {
        return log_record{log_event::platform_unreachable,
                          {{"cause", std::string(name_of(why))},
                           {"call", std::string(request_.call)},
                           {"call_ms", ms_text(now - request_.started)},
                           {"silent_ms", ms_text(staleness())}}};
    });
}

void registry_sync::handle_success() {
    end_outage();
    const auto failures = std::exchange(failures_, 0);
    if (!is_outage_logged_) {
        return;
    }
    is_outage_logged_ = false;
    state_.add_log_record(log_class::state_change, [&] {
        return log_record{log_event::platform_reachable,
                          {{"silent_ms", ms_text(staleness())},
                           {"failures", std::to_string(failures)},
                           {"last_failure_ms", ms_text(http1::boot_time() - last_failure_began_)}}};
    });
}

void registry_sync::end_outage() {
    // The outage did not end before the last time at which the registry was known to answer, nor
    // before the last failure.
    const auto since_failure = http1::boot_time() - last_failure_began_;
    const auto hold =
        hold_time_for(bounds_of(state_.settings), std::min(since_failure, staleness()));
    if (state_.directory.source_regained(state_.now(), hold)) {
        hold_timer_.start(hold);
    }
}

void registry_sync::poll() {
    const auto now = http1::boot_time();
    if (poller_.is_active()) {
        return;
    }
    const auto reader = sharing_.reader_to_poll(now);
    if (!reader) {
        return;
    }
    log_reader(*reader);
    ++counts_.polls_sent;
    const auto after = view_.replica().position();
    const bool is_urgent = sharing_.staleness(now) >= sharing_.timing().switch_reader_after;
    poller_.start({*reader, state_.settings.peer_listener.port},
                  {after.revision, is_urgent, after.era}, sharing_.poll_timeout(now),
                  [this, reader = *reader, now, after](std::optional<registry_poll_answer> answer) {
                      handle_poll_answer(reader, {now, after}, std::move(answer));
                  });
}

void registry_sync::handle_poll_answer(const std::string& reader, const sent_poll& poll_sent,
                                       std::optional<registry_poll_answer> answer) {
    const auto now = http1::boot_time();
    // The answer was made this long after the poll was sent at the earliest.
    const auto made_at = answer ? std::min(now, poll_sent.at + answer->held) : now;
    if (answer && answer->since_failure) {
        last_failure_began_ = std::max(last_failure_began_, made_at - *answer->since_failure);
    }
    const bool is_usable =
        answer && !answer->is_registry_lost && is_mergeable(answer->difference, poll_sent.after);
    if (is_usable) {
        if (answer->difference.era > view_.replica().position().era) {
            follower_.begin_era(answer->difference.revision);
        } else {
            follower_.record_relayed(answer->difference.revision);
        }
        merge(std::move(answer->difference), "poll", poll_sent.at, made_at - answer->age);
    } else if (answer && answer->is_registry_lost) {
        sharing_.record_registry_lost(now, reader);
    }
    const bool is_stale = sharing_.staleness(now) >= sharing_.timing().switch_reader_after;
    if (!is_usable || is_stale) {
        sharing_.record_failed_poll(now, reader);
    }
    step();
    poll();
}

bool registry_sync::is_mergeable(const registry_difference& difference,
                                 const registry_position& polled_from) const {
    const auto known = view_.replica().position();
    const bool follows =
        difference.era == known.era || difference.is_complete || polled_from == known;
    return follows && difference.position() >= known;
}

void registry_sync::log_reader(const std::string& reader) {
    if (reader == logged_reader_) {
        return;
    }
    state_.add_log_record(log_class::state_change, [&] {
        return log_record{
            log_event::registry_reader_changed,
            {{"reader", reader}, {"before", logged_reader_}, {"stale_ms", ms_text(staleness())}}};
    });
    logged_reader_ = reader;
}

void registry_sync::serve_poll(const std::shared_ptr<http1::served_request>& request) {
    const auto now = http1::boot_time();
    const bool was_reader = sharing_.is_reader(now);
    sharing_.record_poll(now);
    ++counts_.polls_received;
    poll_server_.serve(now, request, state_for_polls());
    if (!was_reader) {
        step();
    }
}

replica_state registry_sync::state_for_polls() const {
    const auto now = http1::boot_time();
    const auto since_failure = now - last_failure_began_;
    return {has_read_ ? &view_.replica() : nullptr,
            has_read_ ? sharing_.copy_age(now) : sharing_.staleness(now),
            follower_.is_registry_lost() && sharing_.is_registry_lost(now),
            since_failure < state_.settings.stable_window ? std::optional(since_failure)
                                                          : std::nullopt};
}

void registry_sync::run_housekeeping() {
    view_.drop_expired();
    poller_.close_expired_connections();
    const auto now = http1::boot_time();
    if (sharing_.is_sharing() && has_read_ && sharing_.is_registry_lost(now)) {
        state_.directory.source_lost();
    }
    poll();
}

} // namespace trefoil
