#include <trefoil/traffic/crash_record.hpp>

#include <algorithm>

#include <trefoil/base/hash.hpp>

namespace trefoil {

request_fingerprint request_fingerprint_of(std::string_view method, std::string_view target,
                                           std::string_view caller, std::string_view body) {
    const auto method_and_target = mix_hash(stable_hash(method), stable_hash(target));
    return mix_hash(method_and_target, mix_hash(stable_hash(caller), stable_hash(body)));
}

void crash_record::record_crash(time_point now, request_fingerprint request,
                                std::uint64_t crash_id) {
    if (entries_.size() >= max_entries && !entries_.contains(request)) {
        std::erase_if(entries_,
                      [&](const auto& item) { return now - item.second.last > lifetime; });
        if (entries_.size() >= max_entries) {
            return;
        }
    }
    auto& known = entries_[request];
    known.last = now;
    const bool is_new = std::find(known.crash_ids.begin(), known.crash_ids.end(), crash_id) ==
                        known.crash_ids.end();
    if (is_new && known.crash_ids.size() < blocking_crashes) {
        known.crash_ids.push_back(crash_id);
    }
}

bool crash_record::is_blocked(time_point now, request_fingerprint request) const {
    const auto found = entries_.find(request);
    return found != entries_.end() && found->second.crash_ids.size() >= blocking_crashes &&
           now - found->second.last <= lifetime;
}

} // namespace trefoil
