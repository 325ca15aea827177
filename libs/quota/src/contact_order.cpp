#include <trefoil/quota/contact_order.hpp>

#include <algorithm>

#include <trefoil/membership/rendezvous.hpp>

namespace trefoil {

void contact_order::set_nodes(const domain_name& domain, std::vector<std::string> addresses) {
    std::sort(addresses.begin(), addresses.end());
    addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
    if (domain == domain_ && addresses == addresses_) {
        return;
    }
    domain_ = domain;
    addresses_ = addresses;
    std::vector<std::uint64_t> scores;
    for (const auto& address : addresses) {
        scores.push_back(rendezvous_score(domain, 0, address));
    }
    ordered_.clear();
    for (const auto index : lowest_scores(scores, scores.size())) {
        ordered_.push_back(addresses[index]);
    }
    std::erase_if(states_, [&](const auto& failed) {
        return !std::binary_search(addresses.begin(), addresses.end(), failed.first);
    });
}

void contact_order::mark_failed(time_point now, const std::string& address, contact_failure failure,
                                const std::string& self) {
    auto& state = states_[address];
    if (failure == contact_failure::refusing) {
        state.passed_over_until = now + refusal_time;
        return;
    }
    if (++state.failures < max_failures) {
        return;
    }
    state.passed_over_until = now + silence_time;
    if (!self.empty() && first(now) == self) {
        state.passed_over_until = now + check_time;
    }
}

std::optional<std::string> contact_order::first(time_point now) const {
    for (const auto& address : ordered_) {
        const auto failed = states_.find(address);
        if (failed == states_.end() || now >= failed->second.passed_over_until) {
            return address;
        }
    }
    return std::nullopt;
}

} // namespace trefoil
