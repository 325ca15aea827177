#include <trefoil/traffic/crash_record.hpp>

#include <algorithm>

#include <trefoil/base/hash.hpp>

namespace trefoil {

request_print print_of(std::string_view method, std::string_view target, std::string_view caller,
                       std::string_view body) {
    const auto where = mix_hash(stable_hash(method), stable_hash(target));
    return mix_hash(where, mix_hash(stable_hash(caller), stable_hash(body)));
}

void crash_record::died(time_point now, request_print request, std::uint64_t death) {
    if (entries_.size() >= max_entries && !entries_.contains(request)) {
        std::erase_if(entries_,
                      [&](const auto& item) { return now - item.second.last > lifetime; });
        if (entries_.size() >= max_entries) {
            return;
        }
    }
    auto& known = entries_[request];
    known.last = now;
    const bool is_new =
        std::find(known.deaths.begin(), known.deaths.end(), death) == known.deaths.end();
    if (is_new && known.deaths.size() < blocking_deaths) {
        known.deaths.push_back(death);
    }
}

bool crash_record::is_blocked(time_point now, request_print request) const {
    const auto found = entries_.find(request);
    return found != entries_.end() && found->second.deaths.size() >= blocking_deaths &&
           now - found->second.last <= lifetime;
}

} // namespace trefoil
