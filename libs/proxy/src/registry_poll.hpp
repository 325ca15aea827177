// Messages by which nodes ask each other for what the registry publishes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <trefoil/base/time.hpp>
#include <trefoil/proxy/registry_replica.hpp>

namespace trefoil {

/// Header field of polls and of their answers, between proxies only.
inline constexpr std::string_view poll_field = "trefoil-registry";
/// Header field of polls and of their answers, with the era of the revisions. Nodes of former
/// versions don't send it.
inline constexpr std::string_view poll_era_field = "trefoil-registry-era";
/// Header field of answers, with the time since a failure. Nodes of former versions don't send it.
inline constexpr std::string_view poll_failure_field = "trefoil-registry-failure";

/// Asks for the changes after a revision. A node without changes answers when it next knows that
/// there are none.
struct registry_poll {
    std::uint64_t after_revision = 0;
    /// True if the node is to answer with what it knows now.
    bool is_urgent = false;
    /// Era of the revision; 0 if it is unknown.
    std::uint64_t era = 0;

    friend bool operator==(const registry_poll&, const registry_poll&) = default;
};

/// Answer to a poll.
struct registry_poll_answer {
    registry_difference difference;
    /// Time since the answering node's copy was last known to be current.
    duration age{0};
    /// Time from the arrival of the poll to the answer.
    duration held{0};
    /// True if the registry is unavailable to the answering node.
    bool is_registry_lost = false;
    /// Time from the start of the answering node's last failed request to the registry; empty if
    /// that is long ago or unknown.
    std::optional<duration> since_failure;

    friend bool operator==(const registry_poll_answer&, const registry_poll_answer&) = default;
};

/// Encodes the poll without its era, which has a field of its own.
std::string encode_poll(const registry_poll& poll);
/// Returns nothing if the text is malformed.
std::optional<registry_poll> decode_poll(std::string_view text);

/// Encodes the answer without its records, which are the body, and without the era and the time
/// since a failure, which have fields of their own.
std::string encode_poll_answer(const registry_poll_answer& answer);
/// Returns nothing if the text is malformed. The records stay empty.
std::optional<registry_poll_answer> decode_poll_answer(std::string_view text);

std::string encode_era(std::uint64_t era);
/// Returns 0, which stands for an unknown era, if the text is malformed.
std::uint64_t decode_era(std::string_view text);

std::string encode_since_failure(duration since_failure);
/// Returns nothing if the text is malformed.
std::optional<duration> decode_since_failure(std::string_view text);

/// Encodes records as JSON; an empty text if there are none.
std::string encode_records(const std::vector<registry_record>& records);
/// Returns nothing if the text is malformed.
std::optional<std::vector<registry_record>> decode_records(std::string_view text);

} // namespace trefoil
