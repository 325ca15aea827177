#include <trefoil/membership/membership.hpp>

namespace trefoil {

void membership::replace(std::vector<member> members) {
    members_ = std::move(members);
    by_service_.clear();
    index_.clear();
    for (std::size_t i = 0; i < members_.size(); ++i) {
        by_service_[members_[i].service].push_back(members_[i]);
        index_.emplace(members_[i].instance, i);
    }
    std::erase_if(announced_leaving_,
                  [this](const instance_id& instance) { return !index_.contains(instance); });
}

void membership::announce_leaving(const instance_id& instance) {
    announced_leaving_.insert(instance);
}

void membership::withdraw_announcement(const instance_id& instance) {
    announced_leaving_.erase(instance);
}

const std::vector<member>& membership::of_service(const service_name& service) const {
    static const std::vector<member> none;
    const auto found = by_service_.find(service);
    return found == by_service_.end() ? none : found->second;
}

const member* membership::find(const instance_id& instance) const {
    const auto found = index_.find(instance);
    return found == index_.end() ? nullptr : &members_[found->second];
}

bool membership::is_leaving(const instance_id& instance) const {
    if (announced_leaving_.contains(instance)) {
        return true;
    }
    const auto* entry = find(instance);
    return entry != nullptr && entry->state == member_state::leaving;
}

} // namespace trefoil
