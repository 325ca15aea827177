// Selects the peers that a node sends notices to.
#pragma once

#include <vector>

#include <trefoil/membership/membership.hpp>
#include <trefoil/routing/router.hpp>

namespace trefoil {

/// Maximum number of peers that a node sends a notice about a service to.
inline constexpr std::size_t max_notified_peers = 8;
/// Number of these that is reserved for peers outside the own failure domain.
inline constexpr std::size_t notified_peers_elsewhere = 2;

/// Returns the other members of the service that a node sends notices about it to, nearest first:
/// own failure domain, own region, elsewhere. Within each of these the members follow the node
/// itself on a ring of names, so that notices that are passed on reach the whole service.
std::vector<member> nearest_of_service(const membership& members, const instance_id& self,
                                       const service_name& service, const location& here);

/// Returns the members that a node forwards fleet-wide notices to: the next 4 on the ring of names
/// in its own failure domain, and 2 outside of it, chosen by a hash of the node and the member.
std::vector<member> dissemination_peers(const membership& members, const instance_id& self,
                                        const domain_name& domain);

} // namespace trefoil
