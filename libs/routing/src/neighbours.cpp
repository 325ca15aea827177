#include <trefoil/routing/neighbours.hpp>

#include <algorithm>

namespace trefoil {

std::vector<member> nearest_of_service(const membership& members, const instance_id& self,
                                       const service_name& service, const location& here) {
    std::vector<member> near;
    std::vector<member> far;
    for (const auto& entry : members.of_service(service)) {
        if (entry.instance != self) {
            (entry.domain == here.domain ? near : far).push_back(entry);
        }
    }
    const auto on_ring = [&self](const member& entry) {
        return std::pair(entry.instance < self, std::cref(entry.instance));
    };
    std::sort(near.begin(), near.end(),
              [&](const member& a, const member& b) { return on_ring(a) < on_ring(b); });
    std::sort(far.begin(), far.end(), [&](const member& a, const member& b) {
        return std::pair(a.region != here.region, on_ring(a)) <
               std::pair(b.region != here.region, on_ring(b));
    });
    const auto kept_elsewhere = std::min(told_elsewhere, far.size());
    near.resize(std::min(near.size(), max_told - kept_elsewhere));
    far.resize(std::min(far.size(), max_told - near.size()));
    near.insert(near.end(), far.begin(), far.end());
    return near;
}

} // namespace trefoil
