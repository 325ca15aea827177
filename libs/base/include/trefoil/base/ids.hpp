// Strongly typed identifiers; one kind can't be passed in place of another.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace trefoil {

/// A string identifier. Different tags make distinct types.
template <class Tag>
class string_id {
public:
    string_id() = default;
    explicit string_id(std::string value) : value_(std::move(value)) {}

    const std::string& str() const { return value_; }
    bool empty() const { return value_.empty(); }

    friend bool operator==(const string_id&, const string_id&) = default;
    friend auto operator<=>(const string_id&, const string_id&) = default;

private:
    std::string value_;
};

/// A numeric identifier. Different tags make distinct types.
template <class Tag>
struct number_id {
    std::uint64_t value = 0;

    friend bool operator==(const number_id&, const number_id&) = default;
    friend auto operator<=>(const number_id&, const number_id&) = default;
};

/// Identifies one target instance and its node; unique in the fleet.
using instance_id = string_id<struct instance_tag>;
/// Name of a service, that is, of all instances that serve the same calls.
using service_name = string_id<struct service_tag>;
/// Name of a failure domain.
using domain_name = string_id<struct domain_tag>;
/// Name of a workspace: a group of callers that share keys and a limit.
using workspace_name = string_id<struct workspace_tag>;
/// Name of a region, which contains one or more failure domains.
using region_name = string_id<struct region_tag>;

/// Identifies a call that arrived at a node; unique within one incarnation of that node.
using call_id = number_id<struct call_tag>;
/// Identifies one attempt to execute a call, at the target or a peer; unique within an incarnation.
using attempt_id = number_id<struct attempt_tag>;
/// Identifies one run of a node process; chosen at random at its start.
using incarnation_id = number_id<struct incarnation_tag>;
/// Version of a published document; increases with each change.
using revision = number_id<struct revision_tag>;

/// Identifies a whole request, from its entry call to the deepest call.
struct request_id {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend bool operator==(const request_id&, const request_id&) = default;
    friend auto operator<=>(const request_id&, const request_id&) = default;
};

} // namespace trefoil

template <class Tag>
struct std::hash<trefoil::string_id<Tag>> {
    std::size_t operator()(const trefoil::string_id<Tag>& id) const noexcept {
        return std::hash<std::string>{}(id.str());
    }
};

template <class Tag>
struct std::hash<trefoil::number_id<Tag>> {
    std::size_t operator()(const trefoil::number_id<Tag>& id) const noexcept {
        return std::hash<std::uint64_t>{}(id.value);
    }
};

template <>
struct std::hash<trefoil::request_id> {
    std::size_t operator()(const trefoil::request_id& id) const noexcept {
        return std::hash<std::uint64_t>{}(id.high ^ (id.low * 0x9E3779B97F4A7C15ULL));
    }
};
