#include "reader_election.hpp"

namespace trefoil {

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

void reader_election::rank_nodes() {
    const auto own_score = rendezvous_score(domain_, epoch_, self_.str());
    std::vector<std::size_t> peers;
    std::vector<std::uint64_t> scores;
    rank_ = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (nodes_[i] == self_) {
            continue;
        }
        peers.push_back(i);
        scores.push_back(rendezvous_score(domain_, epoch_, nodes_[i].str()));
        rank_ += scores.back() < own_score ? 1 : 0;
    }
    leading_peers_.clear();
    for (const auto index : lowest_scores(scores, readers_per_domain + standbys_per_domain)) {
        leading_peers_.push_back(nodes_[peers[index]]);
    }
}

} // namespace trefoil
