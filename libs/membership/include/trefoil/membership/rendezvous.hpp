// Rendezvous hashing: an order of the nodes of a failure domain that every node computes alike.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include <trefoil/base/ids.hpp>

namespace trefoil {

/// Number of nodes of a failure domain that read from the platform at the same time.
inline constexpr std::size_t readers_per_domain = 2;

/// Returns the score of a node in a failure domain; nodes with lower scores are ranked first
/// (Thaler and Ravishankar 1998). Another epoch gives another order.
std::uint64_t rendezvous_score(const domain_name& domain, std::uint64_t epoch,
                               std::string_view node);

/// Returns the indexes of the `count` lowest scores in ascending order, or of all scores if there
/// are fewer.
std::vector<std::size_t> lowest_scores(const std::vector<std::uint64_t>& scores, std::size_t count);

} // namespace trefoil
