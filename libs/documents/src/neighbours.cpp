#include "neighbours.hpp"

#include <algorithm>

#include <trefoil/base/hash.hpp>

namespace trefoil {
namespace {

/// Number of unanswered comparisons after which a neighbour is suspected.
constexpr int max_unanswered = 3;
/// Time after which a suspected neighbour becomes eligible again.
constexpr duration suspicion_time = 60s;

std::uint64_t ring_hash(const instance_id& node) {
    return stable_hash(node.str());
}

} // namespace

neighbours::neighbours(instance_id self, domain_name domain)
    : self_(std::move(self)), domain_(std::move(domain)) {}

void neighbours::members_changed(const membership& members) {
    own_.clear();
    own_ring_.clear();
    others_.clear();
    others_ring_.clear();
    fleet_size_ = members.all().size();
    for (const auto& entry : members.all()) {
        if (members.is_leaving(entry.instance)) {
            continue;
        }
        const bool is_own = entry.domain == domain_;
        (is_own ? own_ : others_).push_back(entry.instance);
        (is_own ? own_ring_ : others_ring_).push_back(ring_hash(entry.instance));
    }
    std::erase_if(pending_,
                  [&](const auto& entry) { return members.find(entry.first) == nullptr; });
    choose();
}

void neighbours::on_message_from(const instance_id& node) {
    const auto found = pending_.find(node);
    if (found == pending_.end()) {
        return;
    }
    const bool was_suspected = found->second.unanswered >= max_unanswered;
    pending_.erase(found);
    if (was_suspected) {
        choose();
    }
}

void neighbours::on_comparison_sent(time_point now, const instance_id& node) {
    auto& entry = pending_[node];
    ++entry.unanswered;
    entry.last_sent = now;
    if (entry.unanswered == max_unanswered) {
        choose();
    }
}

bool neighbours::advance(time_point now) {
    const auto ended = std::erase_if(pending_, [&](const auto& entry) {
        return entry.second.unanswered >= max_unanswered &&
               entry.second.last_sent + suspicion_time <= now;
    });
    if (ended == 0) {
        return false;
    }
    choose();
    return true;
}

void neighbours::choose() {
    chosen_.clear();
    const auto self_point = ring_hash(self_);
    add_nearest(own_, own_ring_, self_point);
    for (std::size_t i = 1; i < own_domain_neighbours; ++i) {
        add_nearest(own_, own_ring_, mix_hash(self_point, i));
    }
    for (std::size_t i = 0; i < other_domain_neighbours; ++i) {
        add_nearest(others_, others_ring_, mix_hash(self_point, own_domain_neighbours + i));
    }
}

void neighbours::add_nearest(const std::vector<instance_id>& nodes,
                             const std::vector<std::uint64_t>& ring, std::uint64_t point) {
    std::size_t nearest = nodes.size();
    std::uint64_t distance = 0;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        const auto from_point = ring[i] - point;
        const bool is_nearer = nearest == nodes.size() || from_point < distance;
        if (is_nearer && is_usable(nodes[i])) {
            nearest = i;
            distance = from_point;
        }
    }
    if (nearest < nodes.size()) {
        chosen_.push_back(nodes[nearest]);
    }
}

bool neighbours::is_usable(const instance_id& node) const {
    if (node == self_ || std::find(chosen_.begin(), chosen_.end(), node) != chosen_.end()) {
        return false;
    }
    const auto found = pending_.find(node);
    return found == pending_.end() || found->second.unanswered < max_unanswered;
}

} // namespace trefoil
