#include <trefoil/proxy/read_sharing.hpp>

#include <algorithm>
#include <set>

#include <trefoil/base/hash.hpp>
#include <trefoil/membership/rendezvous.hpp>

namespace trefoil {
namespace {

/// Readers of proxies are not elected anew.
constexpr std::uint64_t only_epoch = 1;

} // namespace

sharing_timing sharing_timing_for(const registry_bounds& bounds) {
    constexpr double switch_share = 0.5;
    constexpr double read_share = 0.65;
    constexpr double lost_share = 0.85;
    constexpr double poll_timeout_share = 0.1;
    const auto change_bound = bounds.change_bound();
    const auto fraction = [&](double share) {
        return duration(
            static_cast<duration::rep>(static_cast<double>(change_bound.count()) * share));
    };
    sharing_timing timing;
    timing.switch_reader_after = fraction(switch_share);
    timing.read_after = fraction(read_share);
    timing.registry_lost_after = fraction(lost_share);
    timing.poll_timeout = fraction(poll_timeout_share);
    timing.suspicion = bounds.stable_window;
    timing.poll_memory = change_bound;
    return timing;
}

read_sharing::read_sharing(sharing_node self, std::uint64_t seed, time_point now)
    : self_(std::move(self)), random_(seed), choice_(stable_hash(self_.ip)),
      timing_(sharing_timing_for({})), confirmed_at_(now) {}

void read_sharing::set_nodes(const std::vector<sharing_node>& nodes) {
    std::map<domain_name, std::set<std::string>> domains;
    fleet_size_ = 1;
    for (const auto& node : nodes) {
        if (node.ip != self_.ip && domains[node.domain].insert(node.ip).second) {
            ++fleet_size_;
        }
    }
    candidates_.clear();
    const auto& own = domains[self_.domain];
    domain_size_ = own.size() + 1;
    rank_own_domain({own.begin(), own.end()});
    add_candidates(self_.domain, {own.begin(), own.end()}, max_own_candidates);
    if (candidates_.size() >= readers_per_domain && choice_ % readers_per_domain == 1) {
        std::swap(candidates_[0], candidates_[1]);
    }
    for (const auto& [domain, ips] : domains) {
        if (domain != self_.domain) {
            add_candidates(domain, {ips.begin(), ips.end()}, 1);
        }
    }
}

void read_sharing::rank_own_domain(const std::vector<std::string>& ips) {
    const auto own_score = rendezvous_score(self_.domain, only_epoch, self_.ip);
    rank_ = static_cast<std::size_t>(std::count_if(ips.begin(), ips.end(), [&](const auto& ip) {
        return rendezvous_score(self_.domain, only_epoch, ip) < own_score;
    }));
}

void read_sharing::add_candidates(const domain_name& domain, const std::vector<std::string>& ips,
                                  std::size_t count) {
    std::vector<std::uint64_t> scores;
    scores.reserve(ips.size());
    for (const auto& ip : ips) {
        scores.push_back(rendezvous_score(domain, only_epoch, ip));
    }
    for (const auto index : lowest_scores(scores, count)) {
        candidates_.push_back(ips[index]);
    }
}

void read_sharing::record_confirmation(time_point then) {
    current_at_ = std::max(current_at_.value_or(then), then);
    if (then > confirmed_at_) {
        confirmed_at_ = then;
        next_fallback_.reset();
    }
}

void read_sharing::record_failed_poll(time_point now, const std::string& ip) {
    std::erase_if(suspected_until_, [&](const auto& item) { return item.second <= now; });
    suspected_until_[ip] = now + timing_.suspicion;
}

void read_sharing::record_registry_lost(time_point now, const std::string& ip) {
    record_failed_poll(now, ip);
    if (!next_fallback_) {
        const auto spread = static_cast<double>(fallback_interval().count()) * random_.unit();
        next_fallback_ = now + duration(static_cast<duration::rep>(spread));
    }
}

void read_sharing::record_failed_read(time_point now) {
    next_fallback_ = now + fallback_interval();
}

duration read_sharing::fallback_interval() const {
    return from_seconds(static_cast<double>(fleet_size_) / max_fallback_rate);
}

bool read_sharing::is_reader(time_point now) const {
    const bool was_polled = last_poll_ && now - *last_poll_ < timing_.poll_memory;
    return is_sharing() && (rank_ < readers_per_domain || was_polled);
}

bool read_sharing::must_read(time_point now) const {
    return time_to_read(now) <= duration{0};
}

duration read_sharing::time_to_read(time_point now) const {
    if (!is_sharing() || is_reader(now)) {
        return duration{0};
    }
    const auto next = confirmed_at_ + timing_.read_after;
    return std::max(next, next_fallback_.value_or(next)) - now;
}

bool read_sharing::is_suspected(time_point now, const std::string& ip) const {
    const auto found = suspected_until_.find(ip);
    return found != suspected_until_.end() && now < found->second;
}

std::optional<std::string> read_sharing::reader_to_poll(time_point now) const {
    const bool is_current = staleness(now) < timing_.switch_reader_after;
    if (!is_sharing() || (is_reader(now) && is_current)) {
        return std::nullopt;
    }
    for (const auto& ip : candidates_) {
        if (!is_suspected(now, ip)) {
            return ip;
        }
    }
    return std::nullopt;
}

duration read_sharing::poll_timeout(time_point now) const {
    return std::max(timing_.switch_reader_after - staleness(now), timing_.poll_timeout);
}

} // namespace trefoil
