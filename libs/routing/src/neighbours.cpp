#include <trefoil/routing/neighbours.hpp>

#include <algorithm>
#include <cstdint>
#include <utility>

#include <trefoil/base/hash.hpp>

namespace trefoil {
namespace {

/// Peers for fleet-wide notices in the own failure domain.
constexpr std::size_t peers_in_domain = 4;
/// Peers for fleet-wide notices outside the own failure domain.
constexpr std::size_t peers_elsewhere = 2;

} // namespace

std::vector<member> nearest_of_service(const membership& members, const instance_id& self,
                                       const service_name& service, const location& here) {
    std::vector<member> near;
    std::vector<member> far;
    for (const auto& entry : members.of_service(service)) {
        if (entry.instance != self) {
            (entry.domain == here.domain ? near : far).push_back(entry);
        }
    }
    const auto ring_position = [&self](const member& entry) {
        return std::pair(entry.instance < self, std::cref(entry.instance));
    };
    std::sort(near.begin(), near.end(), [&](const member& a, const member& b) {
        return ring_position(a) < ring_position(b);
    });
    std::sort(far.begin(), far.end(), [&](const member& a, const member& b) {
        return std::pair(a.region != here.region, ring_position(a)) <
               std::pair(b.region != here.region, ring_position(b));
    });
    const auto reserved_elsewhere = std::min(notified_peers_elsewhere, far.size());
    near.resize(std::min(near.size(), max_notified_peers - reserved_elsewhere));
    far.resize(std::min(far.size(), max_notified_peers - near.size()));
    near.insert(near.end(), far.begin(), far.end());
    return near;
}

std::vector<member> dissemination_peers(const membership& members, const instance_id& self,
                                        const domain_name& domain) {
    using ranked = std::pair<std::uint64_t, const member*>;
    std::vector<const member*> near;
    std::vector<ranked> far;
    const auto own_hash = stable_hash(self.str());
    for (const auto& entry : members.all()) {
        if (entry.instance == self) {
            continue;
        }
        if (entry.domain == domain) {
            near.push_back(&entry);
        } else {
            far.emplace_back(mix_hash(own_hash, stable_hash(entry.instance.str())), &entry);
        }
    }
    const auto near_count = std::min(peers_in_domain, near.size());
    const auto is_next = [&self](const member* a, const member* b) {
        const bool a_wraps = a->instance < self;
        const bool b_wraps = b->instance < self;
        return a_wraps != b_wraps ? b_wraps : a->instance < b->instance;
    };
    const auto near_end = near.begin() + static_cast<std::ptrdiff_t>(near_count);
    std::partial_sort(near.begin(), near_end, near.end(), is_next);
    const auto far_count = std::min(peers_elsewhere, far.size());
    const auto far_end = far.begin() + static_cast<std::ptrdiff_t>(far_count);
    std::partial_sort(far.begin(), far_end, far.end(),
                      [](const ranked& a, const ranked& b) { return a.first < b.first; });
    std::vector<member> chosen;
    std::for_each(near.begin(), near_end, [&](const member* one) { chosen.push_back(*one); });
    std::for_each(far.begin(), far_end, [&](const ranked& one) { chosen.push_back(*one.second); });
    return chosen;
}

} // namespace trefoil
