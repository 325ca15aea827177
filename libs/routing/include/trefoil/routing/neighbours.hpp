// Which nodes are told of news that concerns a service.
#pragma once

#include <vector>

#include <trefoil/membership/membership.hpp>
#include <trefoil/routing/router.hpp>

namespace trefoil {

/// Most nodes that one node tells a piece of news.
inline constexpr std::size_t max_told = 8;
/// Of these, places kept for nodes outside the own failure domain.
inline constexpr std::size_t told_elsewhere = 2;

/// Other members of the service, nearest first. In each tier they follow the node itself in the
/// order of names as on a ring, so that nodes that pass news on reach the whole service.
std::vector<member> nearest_of_service(const membership& members, const instance_id& self,
                                       const service_name& service, const location& here);

/// Members that a node passes news for the whole fleet to: the next 4 on a ring of names in the own
/// failure domain, and 2 elsewhere that a hash chooses for each node.
std::vector<member> news_neighbours(const membership& members, const instance_id& self,
                                    const domain_name& domain);

} // namespace trefoil
