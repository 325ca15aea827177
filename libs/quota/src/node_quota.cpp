#include <trefoil/quota/node_quota.hpp>

#include <algorithm>

namespace trefoil {
namespace {

/// Least credit of a node while there is ample room: arrivals of one message interval at a node
/// that is seldom asked.
constexpr double ample_credit = 3;
/// Time over which the level is used or a debt is repaid.
constexpr double level_time_s = 1;
/// Bounds on the part of the rate that is given out.
constexpr double least_rate_part = 0.5;
constexpr double most_rate_part = 1.5;
/// Least share of a node, as a part of an equal one, with ample room and without.
constexpr double ample_share_part = 0.5;
constexpr double least_share_part = 0.1;
/// Factor by which a share may grow between two messages, since the first of many nodes to report
/// are told a demand without that of the others.
constexpr double share_growth = 2;
/// Without ample room a node may save its share of the rate over this time, and one request.
constexpr double saving_time_s = 0.1;
/// A node that starts has no more of its part of the depth than ample_credit or its part of the
/// rate over this time, since the rest of its part of the
/// depth may have been used before: many nodes may start at once.
constexpr double starting_time_s = 0.25;
/// Level after the limit was lowered, as a part of the depth, so that credit from before ends.
constexpr double lowered_part = 0.4;
/// Credit that makes a node tell at once what it has admitted.
constexpr double low_credit = 1;

} // namespace

node_quota::node_quota(time_point now, const workspace_limit& limit, const quota_bounds& bounds,
                       std::size_t nodes, double phase)
    : limit_(limit), depth_(bucket_depth(limit, bounds)), nodes_(std::max<std::size_t>(nodes, 1)),
      phase_(phase), whole_{depth_, 0, 1}, frozen_share_(1.0 / static_cast<double>(nodes_)),
      credit_(0), updated_(now) {
    credit_ = std::max(ample_credit, frozen_share_ * limit.requests_per_second * starting_time_s);
    credit_ = std::min(credit_, max_credit(now));
}

bool node_quota::has_news(time_point now) const {
    return told_at_ && now - *told_at_ <= max_news_age;
}

std::optional<duration> node_quota::news_age(time_point now) const {
    return told_at_ ? std::optional(now - *told_at_) : std::nullopt;
}

bool node_quota::is_ample() const {
    return whole_.level >= ample_part * usable_depth();
}

double node_quota::share(time_point now) const {
    if (!has_news(now)) {
        return frozen_share_;
    }
    const auto own = own_demand_.rate(now);
    const auto all = std::max(own, whole_.demand);
    const auto equal = 1 / static_cast<double>(nodes_);
    const auto least = (is_ample() ? ample_share_part : least_share_part) * equal;
    const auto most = share_growth * std::max(frozen_share_, equal);
    return std::clamp(all > 0 ? own / all : 0.0, least, most);
}

double node_quota::refill_rate(time_point now) const {
    const auto rate = usable_rate();
    if (!has_news(now)) {
        return frozen_share_ * rate;
    }
    return share(now) * std::clamp(rate + whole_.level / level_time_s, least_rate_part * rate,
                                   most_rate_part * rate);
}

double node_quota::max_credit(time_point now) const {
    if (!has_news(now)) {
        const bool may_have_room = told_at_ && is_ample();
        return std::max(may_have_room ? ample_credit : 1.0, frozen_share_ * usable_depth());
    }
    const auto saved = 1 + share(now) * usable_rate() * saving_time_s;
    return std::max(is_ample() ? ample_credit : saved, share(now) * whole_.level);
}

void node_quota::refill(time_point now) {
    const auto past = std::max(now - updated_, duration{0});
    credit_ = std::min(credit_ + refill_rate(now) * to_seconds(past), max_credit(now));
    updated_ = now;
}

bool node_quota::admit(time_point now) {
    refill(now);
    own_demand_.add(now, 1);
    untold_.asked += 1;
    if (credit_ < 1) {
        return false;
    }
    credit_ -= 1;
    untold_.admitted += 1;
    return true;
}

void node_quota::give_back() {
    untold_.admitted -= 1;
    credit_ += 1;
}

void node_quota::apply(time_point now, const whole_quota& whole) {
    refill(now);
    const bool was_ample = is_ample();
    whole_ = whole;
    told_at_ = now;
    frozen_share_ = share(now);
    if (is_ample()) {
        credit_ = max_credit(now);
        return;
    }
    const auto part = share(now) * std::max(whole.level, 0.0);
    credit_ = was_ample ? std::min(credit_, std::max(part, phase_)) : std::max(credit_, part);
    credit_ = std::min(credit_, max_credit(now));
}

void node_quota::set_limit(time_point now, const workspace_limit& limit,
                           const quota_bounds& bounds) {
    refill(now);
    const auto depth = bucket_depth(limit, bounds);
    whole_.level = std::min(whole_.level + std::max(depth - depth_, 0.0), depth);
    const bool is_lower = limit.requests_per_second < limit_.requests_per_second || depth < depth_;
    limit_ = limit;
    depth_ = depth;
    if (is_lower) {
        whole_.level = std::min(whole_.level, lowered_part * usable_depth());
        credit_ = std::min(credit_, std::max(share(now) * whole_.level, phase_));
    } else if (is_ample()) {
        credit_ = max_credit(now);
    }
    credit_ = std::min(credit_, max_credit(now));
}

duration node_quota::time_to_room(time_point now) const {
    const auto rate = refill_rate(now);
    return credit_ >= 1 || rate <= 0 ? duration{0} : from_seconds((1 - credit_) / rate);
}

bool node_quota::should_tell_now() const {
    return is_ample() && credit_ < low_credit && untold_.admitted >= 1;
}

void node_quota::mark_told(const quota_use& told) {
    untold_.admitted -= told.admitted;
    untold_.asked -= told.asked;
}

void node_quota::add_untold(const quota_use& use) {
    untold_.admitted += use.admitted;
    untold_.asked += use.asked;
}

} // namespace trefoil
