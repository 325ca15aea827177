#include "registry_sync.hpp"

#include <algorithm>

#include <trefoil/base/overloaded.hpp>

namespace trefoil {
namespace {

log_event event_for(directory_change change) {
    switch (change) {
    case directory_change::draining:
        return log_event::instance_leaving;
    case directory_change::removed:
        return log_event::instance_dropped;
    case directory_change::held:
        return log_event::instance_held;
    case directory_change::outdated:
        return log_event::document_stale_ignored;
    default:
        return log_event::instance_listed;
    }
}

/// Time after the start of the node in which it uses the shorter delay between watches, since the
/// instances may have been started together with it.
constexpr duration startup_period = 6s;

registry_bounds bounds_of(const proxy_settings& settings) {
    return {settings.stable_window, settings.drain_time, settings.config_apply_time};
}

std::string ms_text(duration value) {
    return std::to_string(whole_ms(value).count());
}

} // namespace

registry_sync::registry_sync(proxy_state& state, registry_client& client, std::uint64_t seed)
    : state_(state), client_(client), started_(state.now()),
      follower_(seed, registry_timing_for(bounds_of(state.settings), true)),
      timer_(state.loop, [this] { step(); }) {}

void registry_sync::step() {
    const bool is_settling = state_.now() - started_ < startup_period;
    follower_.set_timing(registry_timing_for(bounds_of(state_.settings), is_settling));
    std::visit(overloaded{[&](const read_registry& next) { read_config(next.answer_timeout); },
                          [&](const watch_registry& next) { watch(next); },
                          [&](const delay_next_request& rest) { timer_.start(rest.delay); }},
               follower_.next_step());
}

void registry_sync::note_request(std::string_view kind) {
    request_ = {kind, state_.now()};
}

duration registry_sync::answer_age() const {
    return last_answer_ ? state_.now() - *last_answer_ : duration{0};
}

void registry_sync::read_config(duration answer_timeout) {
    note_request("read");
    client_.read(registry_topic::config, answer_timeout,
                 [this, answer_timeout](registry_result result) {
                     auto read = accept_result(std::move(result));
                     if (!read) {
                         step();
                         return;
                     }
                     apply(std::move(read->changes));
                     read_instances(answer_timeout, read->revision);
                 });
}

void registry_sync::read_instances(duration answer_timeout, std::uint64_t revision) {
    note_request("read");
    client_.read(registry_topic::instances, answer_timeout,
                 [this, revision](registry_result result) {
                     auto read = accept_result(std::move(result));
                     if (read) {
                         apply_list(std::move(read->changes));
                         has_read_ = true;
                         // The configuration is watched from the revision of its own read, which
                         // came first.
                         follower_.record_success(std::min(revision, read->revision), true);
                     }
                     step();
                 });
}

void registry_sync::watch(const watch_registry& next) {
    note_request("watch");
    client_.watch(next.after_revision, next.wait, next.answer_timeout,
                  [this](registry_result result) {
                      auto seen = accept_result(std::move(result));
                      if (seen) {
                          apply(std::move(seen->changes));
                          follower_.record_success(seen->revision, seen->has_events);
                      }
                      step();
                  });
}

std::optional<registry_changes> registry_sync::accept_result(registry_result result) {
    if (const auto* why = std::get_if<registry_error>(&result)) {
        follower_.record_failure(*why);
        handle_failure(*why);
        return std::nullopt;
    }
    handle_success();
    return std::move(std::get<registry_changes>(result));
}

void registry_sync::apply(std::vector<registry_change> changes) {
    for (auto& change : changes) {
        apply_change(std::move(change));
    }
    state_.retry_limiter.set_nodes(state_.directory.size());
    update_local_target();
}

void registry_sync::apply_list(std::vector<registry_change> changes) {
    std::vector<listed_instance> list;
    std::vector<registry_change> others;
    for (auto& change : changes) {
        if (auto* listed = std::get_if<listed_instance>(&change)) {
            list.push_back(std::move(*listed));
        } else {
            others.push_back(std::move(change));
        }
    }
    for (const auto& [id, change] : state_.directory.replace(state_.now(), std::move(list))) {
        log_directory_change(id, change);
    }
    apply(std::move(others));
}

void registry_sync::apply_change(registry_change change) {
    std::visit(overloaded{[&](traffic_config& config) { apply_config(std::move(config)); },
                          [&](listed_instance& listed) {
                              const auto id = listed.id;
                              log_directory_change(id, state_.directory.put(listed));
                          },
                          [&](const instance_removed& removed) {
                              log_directory_change(
                                  removed.id, state_.directory.remove(state_.now(), removed.id));
                          },
                          [&](const unreadable_item& item) {
                              state_.add_log_record(log_class::state_change, [&] {
                                  return log_record{log_event::item_unreadable,
                                                    {{"key", item.key}, {"problem", item.problem}}};
                              });
                              if (!item.id.empty()) {
                                  state_.directory.remove(state_.now(), item.id);
                              }
                          }},
               change);
}

void registry_sync::apply_config(traffic_config config) {
    const auto version = config.version;
    const auto present = state_.routes == nullptr ? 0 : state_.routes->config().version;
    const bool is_newer = state_.routes == nullptr || version > present;
    if (is_newer) {
        state_.routes = std::make_shared<const route_table>(std::move(config));
    }
    state_.add_log_record(log_class::state_change, [&] {
        return log_record{is_newer ? log_event::config_in_force : log_event::config_ignored,
                          {{"version", std::to_string(version)},
                           {"before", std::to_string(present)},
                           {"routes", std::to_string(state_.routes->config().routes.size())},
                           {"call", std::string(request_.kind)},
                           {"call_ms", ms_text(state_.now() - request_.started)},
                           {"silent_ms", ms_text(silence_)}}};
    });
}

void registry_sync::log_directory_change(const instance_id& id, directory_change change) {
    if (change == directory_change::none) {
        return;
    }
    const auto* listed = state_.directory.find(id);
    state_.add_log_record(log_class::state_change, [&] {
        log_record record{event_for(change), {{"instance", id.str()}}};
        if (listed != nullptr) {
            record.fields.emplace_back("service", listed->service.str());
            record.fields.emplace_back("domain", listed->domain.str());
            record.fields.emplace_back("target", to_string(listed->target));
            record.fields.emplace_back("slots", std::to_string(listed->slots));
        }
        return record;
    });
}

void registry_sync::update_local_target() {
    const auto* local_entry = state_.directory.at_address(state_.settings.target);
    if (local_entry == nullptr) {
        return;
    }
    const auto connections =
        state_.routes == nullptr ? 0 : state_.routes->max_connections(local_entry->service);
    state_.dispatcher.set_slots(connections == 0 ? local_entry->slots
                                                 : std::min(local_entry->slots, connections));
    const std::pair process(local_entry->id, local_entry->started_at_ms);
    if (process == local_process_) {
        return;
    }
    const bool is_restart = local_process_.has_value();
    local_process_ = process;
    if (is_restart) {
        state_.dispatcher.target_restarted();
    }
    state_.add_log_record(log_class::state_change, [&] {
        return log_record{log_event::own_target_changed,
                          {{"instance", local_entry->id.str()},
                           {"slots", std::to_string(local_entry->slots)},
                           {"restart", is_restart ? "1" : "0"}}};
    });
}

void registry_sync::handle_failure(registry_error why) {
    if (why == registry_error::history_gone) {
        state_.add_log_record(log_class::state_change, [&] {
            return log_record{log_event::registry_read_again, {}};
        });
        return;
    }
    if (follower_.is_registry_lost()) {
        state_.directory.source_lost();
    }
    if (is_outage_logged_) {
        return;
    }
    is_outage_logged_ = true;
    state_.add_log_record(log_class::state_change, [&] {
        return log_record{log_event::platform_unreachable,
                          {{"cause", std::string(name_of(why))},
                           {"call", std::string(request_.kind)},
                           {"call_ms", ms_text(state_.now() - request_.started)},
                           {"silent_ms", ms_text(answer_age())}}};
    });
}

void registry_sync::handle_success() {
    state_.directory.source_regained(state_.now());
    silence_ = answer_age();
    last_answer_ = state_.now();
    if (!is_outage_logged_) {
        return;
    }
    is_outage_logged_ = false;
    state_.add_log_record(log_class::state_change, [&] {
        return log_record{
            log_event::platform_reachable,
            {{"silent_ms", ms_text(silence_)}, {"failures", std::to_string(follower_.failures())}}};
    });
}

} // namespace trefoil
