#include <trefoil/workspace/workspace_table.hpp>

#include <fmt/format.h>

#include <trefoil/base/hash.hpp>

namespace trefoil {
namespace {

/// Compares in a time that depends on the lengths alone.
bool equals_in_constant_time(std::string_view left, std::string_view right) {
    if (left.size() != right.size()) {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t i = 0; i < left.size(); ++i) {
        difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]);
    }
    return difference == 0;
}

} // namespace

workspace_table::workspace_table(std::shared_ptr<const std::vector<workspace_entry>> workspaces,
                                 std::uint64_t salt)
    : workspaces_(std::move(workspaces)), salt_(salt) {
    for (const auto& entry : *workspaces_) {
        for (const auto& key : entry.keys) {
            owners_.emplace(stable_hash(key, salt_), key_owner{&key, &entry});
        }
    }
}

std::shared_ptr<const workspace_entry> workspace_table::find(std::string_view key) const {
    const auto [first, last] = owners_.equal_range(stable_hash(key, salt_));
    for (auto at = first; at != last; ++at) {
        if (equals_in_constant_time(*at->second.key, key)) {
            return {workspaces_, at->second.owner};
        }
    }
    return nullptr;
}

std::string key_digest(std::string_view key, std::uint64_t salt) {
    // Another salt than that of the lookup, so that the log tells nothing of the table.
    constexpr std::uint64_t log_salt = 1;
    constexpr unsigned digest_bits = 32;
    return fmt::format("{:08x}", stable_hash(key, mix_hash(salt, log_salt)) >> digest_bits);
}

} // namespace trefoil
