#include <trefoil/membership/rendezvous.hpp>

#include <algorithm>
#include <numeric>

#include <trefoil/base/hash.hpp>

namespace trefoil {

std::uint64_t rendezvous_score(const domain_name& domain, std::uint64_t epoch,
                               std::string_view node) {
    return mix_hash(stable_hash(domain.str(), epoch), stable_hash(node));
}

std::vector<std::size_t> lowest_scores(const std::vector<std::uint64_t>& scores,
                                       std::size_t count) {
    std::vector<std::size_t> indexes(scores.size());
    std::iota(indexes.begin(), indexes.end(), std::size_t{0});
    const auto end = indexes.begin() + static_cast<std::ptrdiff_t>(std::min(count, scores.size()));
    std::partial_sort(indexes.begin(), end, indexes.end(), [&](std::size_t one, std::size_t other) {
        return scores[one] < scores[other];
    });
    indexes.erase(end, indexes.end());
    return indexes;
}

} // namespace trefoil
