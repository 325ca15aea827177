#include <trefoil/quota/fleet_quota.hpp>

#include <algorithm>
#include <cmath>

namespace trefoil {
namespace {

/// Part of the depth of which another domain is told before the next regular message.
constexpr double prompt_part = 1.0 / 8;
/// Part of the overshoot that all domains together may use without confirmation.
constexpr double unconfirmed_part = 0.25;
/// Part of the own bucket by which unconfirmed use exceeds what is free, from which others are told
/// before the next regular message; and part of what is free that a regular message tells of.
constexpr double prompt_excess_part = 0.1;
constexpr double told_free_part = 0.75;
/// Change of a domain's part that it is told at once.
constexpr double part_change = 0.05;
/// Requests that are worth a message before the next regular one.
constexpr double least_prompt_use = 4;
/// Part of the whole that is divided equally among the domains, so that one that was not asked
/// before a cut can serve a little.
constexpr double equal_part = 0.1;
/// Part of the depth that is taken as left while it isn't known what other domains have admitted;
/// below ample_part, so that nodes keep to their shares of it.
constexpr double unheard_level_part = 0.45;
/// Relative change of the demand that is worth a message.
constexpr double demand_change = 0.1;

} // namespace

fleet_quota::fleet_quota(time_point now, const workspace_limit& limit, const quota_bounds& bounds)
    : limit_(limit), depth_(bucket_depth(limit, bounds)), overshoot_(overshoot_of(limit, bounds)),
      level_(depth_), updated_(now), adopted_at_(now) {}

fleet_quota::other_domain* fleet_quota::find(const domain_name& name) {
    const auto found = std::find_if(others_.begin(), others_.end(),
                                    [&](const auto& other) { return other.name == name; });
    return found == others_.end() ? nullptr : &*found;
}

const fleet_quota::other_domain* fleet_quota::find(const domain_name& name) const {
    return const_cast<fleet_quota*>(this)->find(name);
}

void fleet_quota::set_domains(time_point now, const std::vector<domain_name>& others) {
    std::erase_if(others_, [&](const auto& known) {
        return std::find(others.begin(), others.end(), known.name) == others.end();
    });
    for (const auto& name : others) {
        if (find(name) == nullptr) {
            other_domain added;
            added.name = name;
            added.heard_at = now;
            added.part = 1 / static_cast<double>(others.size() + 1);
            others_.push_back(added);
        }
    }
}

double fleet_quota::own_demand(time_point now) const {
    return own_demand_.rate(now);
}

double fleet_quota::whole_demand(time_point now, bool only_in_touch) const {
    double sum = own_demand(now);
    for (const auto& other : others_) {
        sum += only_in_touch && !other.is_in_touch ? 0 : other.demand;
    }
    const auto past = to_seconds(now - adopted_at_) / to_seconds(demand_average::time_constant);
    return std::max(sum, adopted_demand_ * std::exp(-past));
}

double fleet_quota::part_of(time_point now, double demand) const {
    const auto domains = static_cast<double>(others_.size() + 1);
    const auto all = whole_demand(now);
    const auto by_demand = all > 0 ? demand / all : 1 / domains;
    return equal_part / domains + (1 - equal_part) * by_demand;
}

double fleet_quota::own_part(time_point now) const {
    double part = part_of(now, own_demand(now));
    for (const auto& other : others_) {
        part = std::min(part, other.told_own_part.value_or(part));
    }
    return part;
}

double fleet_quota::assumed_part(time_point now) const {
    double parts = 0;
    bool is_alone = !others_.empty();
    for (const auto& other : others_) {
        parts += other.is_in_touch ? 0 : other.part;
        is_alone = is_alone && !other.is_in_touch;
    }
    return std::clamp(is_alone ? std::max(parts, 1 - own_part(now)) : parts, 0.0, 1.0);
}

void fleet_quota::assume_use(double part, double requests) {
    double parts = 0;
    for (const auto& other : others_) {
        parts += other.is_in_touch ? 0 : other.part;
    }
    for (auto& other : others_) {
        if (!other.is_in_touch && parts > 0) {
            other.assumed += part * requests * other.part / parts;
        }
    }
}

void fleet_quota::check_touch(time_point now) {
    bool has_lost = false;
    double unconfirmed = 0;
    for (auto& other : others_) {
        if (other.is_in_touch && now - other.heard_at > max_domain_silence) {
            other.is_in_touch = false;
            has_lost = true;
            unconfirmed = std::max(unconfirmed, other.untold);
        }
    }
    if (has_lost) {
        // What was left is used on both sides, by their parts; this one has begun to.
        const auto gained = limit_.requests_per_second * to_seconds(max_domain_silence);
        const auto used = unconfirmed / part_of(now, own_demand(now));
        level_ =
            std::max(-depth_, std::min(level_, (depth_ + gained - used) * (1 - assumed_part(now))));
    }
}

void fleet_quota::refill(time_point now) {
    check_touch(now);
    const auto past = to_seconds(std::max(now - updated_, duration{0}));
    updated_ = now;
    const auto assumed = assumed_part(now);
    const auto gained = limit_.requests_per_second * past;
    assume_use(assumed, gained);
    level_ = std::clamp(level_ + (1 - assumed) * gained, -depth_, depth_ * (1 - assumed));
}

void fleet_quota::add_own(time_point now, const quota_use& use) {
    refill(now);
    level_ = std::max(level_ - use.admitted, -depth_);
    own_demand_.add(now, std::max(use.asked, 0.0));
    for (auto& other : others_) {
        other.untold += use.admitted;
    }
}

void fleet_quota::heard_of(time_point now, const domain_name& from) {
    refill(now);
    if (auto* other = find(from)) {
        other->heard_at = now;
        other->is_in_touch = true;
        other->part = part_of(now, other->demand);
    }
}

void fleet_quota::lose(time_point now, const domain_name& name) {
    refill(now);
    if (auto* other = find(name)) {
        other->is_in_touch = false;
        level_ = std::min(level_, unheard_level_part * depth_ * (1 - assumed_part(now)));
    }
}

void fleet_quota::apply(time_point now, const domain_name& from, const domain_use& use) {
    heard_of(now, from);
    auto* other = find(from);
    if (other == nullptr) {
        return;
    }
    level_ = std::clamp(level_ - (use.admitted - other->assumed), -depth_, depth_);
    other->assumed = 0;
    other->demand = use.demand;
    other->told_own_part = use.receiver_part;
    other->part = part_of(now, other->demand);
}

std::optional<domain_use> fleet_quota::news_for(time_point now, const domain_name& to,
                                                bool is_due) const {
    const auto* other = find(to);
    if (other == nullptr || !other->is_in_touch) {
        return std::nullopt;
    }
    const auto demand = own_demand(now);
    const bool has_use = std::abs(other->untold) >= 1;
    const bool has_new_demand =
        std::abs(demand - other->told_demand) >
        demand_change * std::max(limit_.requests_per_second, other->told_demand);
    const auto part = part_of(now, other->demand);
    const bool has_new_part = std::abs(part - other->told_part) > part_change;
    const bool is_urgent = (has_new_part && whole_demand(now) > 0) ||
                           (has_use && (level_ < ample_part * depth_ ||
                                        other->untold >= std::min(prompt_part * depth_,
                                                                  told_free_part * free_untold())));
    if (!is_urgent && !(is_due && (has_use || has_new_demand))) {
        return std::nullopt;
    }
    return domain_use{other->untold, demand, part};
}

double fleet_quota::free_untold() const {
    return unconfirmed_part * overshoot_ / static_cast<double>(others_.size() + 1);
}

double fleet_quota::excess_untold() const {
    double most = 0;
    for (const auto& other : others_) {
        most = std::max(most, other.is_in_touch ? other.untold : 0);
    }
    return std::max(0.0, most - free_untold());
}

double fleet_quota::safe_level(time_point now) const {
    const auto excess = excess_untold();
    return excess > 0
               ? std::clamp(depth_ - excess / own_part(now), -depth_, std::max(level_, -depth_))
               : level_;
}

bool fleet_quota::has_prompt_news(time_point now) const {
    if (excess_untold() > prompt_excess_part * own_part(now) * depth_) {
        return true;
    }
    return std::any_of(others_.begin(), others_.end(), [&](const auto& other) {
        return other.is_in_touch &&
               other.untold >= std::max(least_prompt_use, 2 * prompt_part * depth_);
    });
}

void fleet_quota::mark_told(const domain_name& to, const domain_use& told) {
    if (auto* other = find(to)) {
        other->untold -= told.admitted;
        other->told_demand = told.demand;
        other->told_part = told.receiver_part;
    }
}

void fleet_quota::adopt(time_point now, const whole_quota& whole) {
    refill(now);
    level_ = std::min(whole.level, depth_);
    adopted_demand_ = whole.demand;
    adopted_at_ = now;
}

void fleet_quota::set_limit(time_point now, const workspace_limit& limit,
                            const quota_bounds& bounds) {
    refill(now);
    const auto depth = bucket_depth(limit, bounds);
    level_ = std::min(level_ + std::max(depth - depth_, 0.0), depth);
    limit_ = limit;
    depth_ = depth;
    overshoot_ = overshoot_of(limit, bounds);
}

whole_quota fleet_quota::whole(time_point now) {
    refill(now);
    return {safe_level(now), whole_demand(now, true), 1 - assumed_part(now)};
}

bool fleet_quota::is_scarce(time_point now) {
    refill(now);
    return safe_level(now) < ample_part * depth_ * (1 - assumed_part(now));
}

} // namespace trefoil
