#include <trefoil/quota/quota_ledger.hpp>

#include <algorithm>

#include <trefoil/base/hash.hpp>
#include <trefoil/base/random.hpp>

namespace trefoil {
namespace {

/// A node gathers for others only when it has run for this long, since those that ran before know
/// more.
constexpr duration start_time = 1s;
/// A gathering node to which nobody reports goes on for this long,
constexpr duration unasked_time = 1s;
/// and begins again after this long.
constexpr duration idle_time = 4s;
/// A workspace of which nothing was refused for this long is no longer limited.
constexpr duration limiting_end = 5s;

} // namespace

quota_ledger::quota_ledger(quota_bounds bounds, std::uint64_t seed, change_handler on_change)
    : bounds_(bounds), seed_(seed), on_change_(std::move(on_change)) {}

void quota_ledger::set_limits(time_point now, const std::vector<workspace_entry>& workspaces) {
    started_at_ = started_at_.value_or(now);
    std::unordered_map<workspace_code, limit_state> wanted;
    for (const auto& workspace : workspaces) {
        if (!workspace.limit) {
            continue;
        }
        const auto code = code_of(workspace.name);
        auto known = limits_.extract(code);
        if (known.empty()) {
            auto& made = wanted[code];
            made.name = workspace.name;
            made.limit = *workspace.limit;
            continue;
        }
        auto& state = known.mapped();
        if (state.limit != *workspace.limit) {
            state.limit = *workspace.limit;
            if (state.node) {
                state.node->set_limit(now, state.limit, bounds_);
            }
            if (state.fleet) {
                state.fleet->set_limit(now, state.limit, bounds_);
            }
        }
        wanted.insert(std::move(known));
    }
    limits_ = std::move(wanted);
}

void quota_ledger::set_bounds(time_point now, const quota_bounds& bounds) {
    bounds_ = bounds;
    for (auto& [code, state] : limits_) {
        if (state.node) {
            state.node->set_limit(now, state.limit, bounds_);
        }
        if (state.fleet) {
            state.fleet->set_limit(now, state.limit, bounds_);
        }
    }
}

void quota_ledger::set_fleet(time_point now, std::size_t nodes,
                             std::vector<domain_name> other_domains) {
    nodes_ = std::max<std::size_t>(nodes, 1);
    other_domains_ = std::move(other_domains);
    for (auto& [code, state] : limits_) {
        if (state.node) {
            state.node->set_nodes(nodes_);
        }
        if (state.fleet) {
            state.fleet->set_domains(now, other_domains_);
        }
    }
}

quota_ledger::limit_state* quota_ledger::find(workspace_code code) {
    const auto found = limits_.find(code);
    return found == limits_.end() ? nullptr : &found->second;
}

node_quota& quota_ledger::node_of(time_point now, limit_state& state) {
    if (!state.node) {
        const auto code = code_of(state.name);
        const auto phase = random_source(mix_hash(seed_, code.value)).unit();
        state.node.emplace(now, state.limit, bounds_, nodes_, phase);
        const auto scarce = scarce_.find(code);
        if (scarce != scarce_.end() && answered_at_) {
            state.node->apply(*answered_at_, scarce->second);
        } else if (answered_at_) {
            state.node->apply(*answered_at_, {bucket_depth(state.limit, bounds_), 0, 1});
        }
    }
    return *state.node;
}

fleet_quota& quota_ledger::fleet_of(time_point now, limit_state& state) {
    if (!state.fleet) {
        state.fleet.emplace(now, state.limit, bounds_);
        state.fleet->set_domains(now, other_domains_);
        const auto scarce = scarce_.find(code_of(state.name));
        if (state.node && state.node->news_age(now)) {
            state.fleet->adopt(now, state.node->whole());
        } else if (scarce != scarce_.end()) {
            state.fleet->adopt(now, scarce->second);
        } else {
            lose_unheard(now, *state.fleet);
        }
    }
    return *state.fleet;
}

void quota_ledger::lose_unheard(time_point now, fleet_quota& fleet) const {
    if (was_answered_) {
        return;
    }
    for (const auto& name : other_domains_) {
        const bool is_heard =
            std::any_of(heard_domains_.begin(), heard_domains_.end(), [&](const auto& heard) {
                return heard.name == name && now - heard.at <= max_domain_silence;
            });
        if (!is_heard) {
            fleet.lose(now, name);
        }
    }
}

void quota_ledger::note_heard(time_point now, const domain_name& from) {
    std::erase_if(heard_domains_, [&](const auto& heard) {
        return heard.name == from || now - heard.at > max_domain_silence;
    });
    heard_domains_.push_back({from, now});
}

quota_decision quota_ledger::admit(time_point now, const workspace_name& workspace) {
    auto* state = find(code_of(workspace));
    if (state == nullptr) {
        return quota_admission{};
    }
    auto& node = node_of(now, *state);
    const bool is_admitted = node.admit(now);
    should_report_now_ = should_report_now_ || node.should_tell_now();
    if (is_admitted) {
        ++state->admitted;
        return quota_admission{};
    }
    ++state->limited;
    const bool has_begun = !state->limited_at;
    state->limited_at = now;
    if (has_begun) {
        report_change(now, *state, true);
    }
    return quota_refusal{node.time_to_room(now)};
}

void quota_ledger::give_back(const workspace_name& workspace) {
    auto* state = find(code_of(workspace));
    if (state != nullptr && state->node) {
        state->node->give_back();
        state->admitted -= state->admitted > 0 ? 1 : 0;
    }
}

void quota_ledger::report_change(time_point now, const limit_state& state, bool is_limited) {
    on_change_(
        {state.name, is_limited, state.limit, state.node->share(now), state.node->news_age(now)});
}

void quota_ledger::check_limiting(time_point now) {
    for (auto& [code, state] : limits_) {
        if (state.limited_at && now - *state.limited_at > limiting_end) {
            state.limited_at.reset();
            report_change(now, state, false);
        }
    }
}

node_report quota_ledger::make_report() const {
    node_report report;
    for (const auto& [code, state] : limits_) {
        if (report.entries.size() == max_quota_entries) {
            break;
        }
        if (state.node && state.node->untold() != quota_use{}) {
            report.entries.push_back({code, state.node->untold()});
        }
    }
    return report;
}

void quota_ledger::handle_answer(time_point now, const node_report& told,
                                 const node_answer& answer) {
    answered_at_ = now;
    was_answered_ = true;
    for (const auto& entry : told.entries) {
        auto* state = find(entry.workspace);
        if (state != nullptr && state->node) {
            state->node->mark_told(entry.use);
        }
    }
    scarce_.clear();
    for (const auto& entry : answer.entries) {
        scarce_[entry.workspace] = entry.whole;
    }
    for (auto& [code, state] : limits_) {
        if (!state.node) {
            continue;
        }
        const auto found = scarce_.find(code);
        if (found != scarce_.end()) {
            state.node->apply(now, found->second);
            continue;
        }
        auto ample = state.node->whole();
        ample.level = bucket_depth(state.limit, bounds_) * ample.part;
        state.node->apply(now, ample);
    }
}

bool quota_ledger::may_gather(time_point now) const {
    return started_at_ && now - *started_at_ > start_time;
}

bool quota_ledger::knows_whole(time_point now) const {
    return is_gathering_ || (answered_at_ && now - *answered_at_ <= max_news_age);
}

bool quota_ledger::should_gather(time_point now, std::size_t nodes_in_domain) const {
    if (!may_gather(now)) {
        return false;
    }
    const auto since = std::max(asked_at_.value_or(*started_at_), *started_at_);
    const bool is_asked = asked_at_ && now - *asked_at_ <= unasked_time;
    return nodes_in_domain <= 1 || is_asked || now - since > idle_time;
}

void quota_ledger::set_gathering(bool is_gathering) {
    if (is_gathering_ && !is_gathering) {
        for (auto& [code, state] : limits_) {
            state.fleet.reset();
        }
    }
    is_gathering_ = is_gathering;
}

void quota_ledger::gather(time_point now, limit_state& state, const quota_use& use) {
    auto& fleet = fleet_of(now, state);
    fleet.add_own(now, use);
    should_tell_domains_now_ = should_tell_domains_now_ || fleet.has_prompt_news(now);
}

node_answer quota_ledger::take_report(time_point now, const node_report& report) {
    asked_at_ = now;
    node_answer answer;
    for (const auto& entry : report.entries) {
        auto* state = find(entry.workspace);
        if (state == nullptr) {
            continue;
        }
        if (is_gathering_) {
            gather(now, *state, entry.use);
            answer.entries.push_back({entry.workspace, state->fleet->whole(now)});
        } else {
            auto& node = node_of(now, *state);
            node.add_untold(entry.use);
            answer.entries.push_back({entry.workspace, node.whole()});
        }
    }
    std::vector<workspace_code> named;
    for (const auto& entry : report.entries) {
        named.push_back(entry.workspace);
    }
    std::sort(named.begin(), named.end());
    for (auto& [code, state] : limits_) {
        const bool is_full = answer.entries.size() >= max_quota_entries;
        if (!is_full && state.fleet && state.fleet->is_scarce(now) &&
            !std::binary_search(named.begin(), named.end(), code)) {
            answer.entries.push_back({code, state.fleet->whole(now)});
        }
    }
    return answer;
}

void quota_ledger::gather_own(time_point now) {
    answered_at_ = now;
    scarce_.clear();
    for (auto& [code, state] : limits_) {
        if (state.node) {
            const auto use = state.node->untold();
            gather(now, state, use);
            state.node->mark_told(use);
            state.node->apply(now, state.fleet->whole(now));
        } else if (state.fleet && state.fleet->is_scarce(now)) {
            scarce_[code] = state.fleet->whole(now);
        }
    }
}

domain_report quota_ledger::make_domain_report(time_point now, const domain_name& own,
                                               const domain_name& to, bool is_due) const {
    domain_report report;
    report.from = own;
    for (const auto& [code, state] : limits_) {
        if (!state.fleet || report.entries.size() == max_quota_entries) {
            continue;
        }
        if (const auto news = state.fleet->news_for(now, to, is_due)) {
            report.entries.push_back({code, *news});
        }
    }
    return report;
}

void quota_ledger::handle_delivery(const domain_name& to, const domain_report& told) {
    for (const auto& entry : told.entries) {
        auto* state = find(entry.workspace);
        if (state != nullptr && state->fleet) {
            state->fleet->mark_told(to, entry.use);
        }
    }
}

bool quota_ledger::take_domain_report(time_point now, const domain_report& report) {
    if (!is_gathering_) {
        return false;
    }
    note_heard(now, report.from);
    for (const auto& entry : report.entries) {
        if (auto* state = find(entry.workspace)) {
            fleet_of(now, *state).apply(now, report.from, entry.use);
        }
    }
    for (auto& [code, state] : limits_) {
        if (state.fleet) {
            state.fleet->heard_of(now, report.from);
        }
    }
    return true;
}

std::vector<workspace_counts> quota_ledger::largest(std::size_t count) const {
    std::vector<workspace_counts> all;
    for (const auto& [code, state] : limits_) {
        if (state.admitted + state.limited > 0) {
            all.push_back({state.name, state.admitted, state.limited});
        }
    }
    std::sort(all.begin(), all.end(), [](const auto& left, const auto& right) {
        return left.admitted + left.limited > right.admitted + right.limited;
    });
    if (all.size() > count) {
        workspace_counts others;
        for (auto entry = all.begin() + static_cast<std::ptrdiff_t>(count); entry != all.end();
             ++entry) {
            others.admitted += entry->admitted;
            others.limited += entry->limited;
        }
        all.resize(count);
        all.push_back(others);
    }
    return all;
}

} // namespace trefoil
