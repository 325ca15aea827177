#include "reader_election.hpp"

#include <algorithm>

#include <trefoil/base/hash.hpp>

namespace trefoil {
namespace {

struct candidate {
    std::uint64_t score = 0;
    std::size_t index = 0;
};

} // namespace

reader_election::reader_election(instance_id self, domain_name domain)
    : self_(std::move(self)), domain_(std::move(domain)) {}

void reader_election::members_changed(const std::vector<instance_id>& own_domain) {
    nodes_ = own_domain;
    rank_nodes();
}

void reader_election::on_epoch(time_point now, std::uint64_t epoch) {
    if (epoch > epoch_) {
        epoch_ = epoch;
        epoch_start_ = now;
        rank_nodes();
    }
}

void reader_election::advance(time_point now) {
    if (now >= next_wake()) {
        ++epoch_;
        epoch_start_ = now;
        rank_nodes();
    }
}

std::uint64_t reader_election::score(const instance_id& node) const {
    return mix_hash(stable_hash(domain_.str(), epoch_), stable_hash(node.str()));
}

void reader_election::rank_nodes() {
    const auto own_score = score(self_);
    std::vector<candidate> candidates;
    candidates.reserve(nodes_.size());
    rank_ = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (nodes_[i] == self_) {
            continue;
        }
        candidates.push_back({score(nodes_[i]), i});
        rank_ += candidates.back().score < own_score ? 1 : 0;
    }
    const auto count = std::min(candidates.size(), readers_per_domain + standbys_per_domain);
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count),
                      candidates.end(), [](const candidate& one, const candidate& other) {
                          return one.score < other.score;
                      });
    leading_peers_.clear();
    for (std::size_t i = 0; i < count; ++i) {
        leading_peers_.push_back(nodes_[candidates[i].index]);
    }
}

} // namespace trefoil
