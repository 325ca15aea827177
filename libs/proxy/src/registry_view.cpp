#include "registry_view.hpp"

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

std::string ms_text(duration value) {
    return std::to_string(whole_ms(value).count());
}

} // namespace

void registry_view::merge(registry_difference difference, const answer_source& source) {
    source_ = source;
    const auto ignored_before = replica_.ignored_records();
    apply(replica_.merge(std::move(difference)));
    log_ignored_records(replica_.ignored_records() - ignored_before);
}

void registry_view::apply(const std::vector<registry_record>& records) {
    for (const auto& record : records) {
        if (auto change = client_.decode(record)) {
            apply_change(std::move(*change), record);
        }
    }
    state_.retry_limiter.set_nodes(state_.directory.size());
    update_local_target();
}

void registry_view::apply_change(registry_change change, const registry_record& record) {
    const auto revision = record.revision;
    std::visit(overloaded{[&](traffic_config& config) { apply_config(std::move(config), record); },
                          [&](listed_instance& listed) {
                              const auto id = listed.id;
                              listed.registry_era = replica_.position().era;
                              log_directory_change(id, state_.directory.put(listed), revision);
                          },
                          [&](const instance_removed& removed) {
                              log_directory_change(
                                  removed.id, state_.directory.remove(state_.now(), removed.id),
                                  revision);
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

bool registry_view::is_newer(const traffic_config& config, const registry_record& record) const {
    if (state_.routes == nullptr) {
        return true;
    }
    const auto present = state_.routes->config().version;
    const bool is_rewritten = config.version == present && replica_.position().era > config_era_ &&
                              record.value != config_record_.value;
    return config.version > present || is_rewritten;
}

void registry_view::apply_config(traffic_config config, const registry_record& record) {
    const auto version = config.version;
    const auto present = state_.routes == nullptr ? 0 : state_.routes->config().version;
    const bool is_put_in_force = is_newer(config, record);
    if (is_put_in_force) {
        state_.routes = std::make_shared<const route_table>(std::move(config), state_.key_salt);
        config_record_ = record;
        state_.dispatcher.share_short_services(state_.routes->workspaces() != nullptr,
                                               state_.settings.service);
    } else if (version < present) {
        replica_.keep(config_record_);
    }
    if (version >= present) {
        config_era_ = replica_.position().era;
    }
    state_.add_log_record(log_class::state_change, [&] {
        return log_record{is_put_in_force ? log_event::config_in_force : log_event::config_ignored,
                          {{"version", std::to_string(version)},
                           {"before", std::to_string(present)},
                           {"routes", std::to_string(state_.routes->config().routes.size())},
                           {"call", std::string(source_.call)},
                           {"call_ms", ms_text(source_.took)},
                           {"silent_ms", ms_text(source_.silence)}}};
    });
}

void registry_view::log_ignored_records(std::size_t count) {
    if (count == 0) {
        return;
    }
    state_.add_log_record(log_class::state_change, [&] {
        return log_record{log_event::registry_records_ignored,
                          {{"count", std::to_string(count)},
                           {"revision", std::to_string(replica_.revision())},
                           {"call", std::string(source_.call)},
                           {"silent_ms", ms_text(source_.silence)}}};
    });
}

void registry_view::drop_expired() {
    const auto now = state_.now();
    const auto returned_at = state_.directory.source_returned_at();
    for (const auto& id : state_.directory.expire(now)) {
        state_.add_log_record(log_class::state_change, [&] {
            return log_record{log_event::instance_dropped,
                              {{"instance", id.str()},
                               {"cause", "stayed_missing"},
                               {"back_ms", ms_text(now - returned_at.value_or(now))}}};
        });
    }
    state_.update_gate();
}

void registry_view::log_directory_change(const instance_id& id, directory_change change,
                                         std::uint64_t revision) {
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
        record.fields.emplace_back("revision", std::to_string(revision));
        record.fields.emplace_back("call", source_.call);
        record.fields.emplace_back("silent_ms", ms_text(source_.silence));
        return record;
    });
}

void registry_view::update_local_target() {
    state_.update_gate();
    const auto* local_entry = state_.directory.at_address(state_.settings.target);
    if (local_entry == nullptr) {
        return;
    }
    const auto connections =
        state_.routes == nullptr ? 0 : state_.routes->max_connections(local_entry->service);
    state_.dispatcher.set_slots(connections == 0 ? local_entry->slots
                                                 : std::min(local_entry->slots, connections));
    state_.dispatcher.use_expected_work(state_.is_placed_by_work(local_entry->service));
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

} // namespace trefoil
