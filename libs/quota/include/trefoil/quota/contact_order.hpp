// The node of a failure domain that others tell of limits.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>

namespace trefoil {

/// Why a node is passed over.
enum class contact_failure : std::uint8_t {
    /// It did not answer.
    silent,
    /// It does not gather now, for instance since it has just started.
    refusing,
};

/// The nodes of one domain in rendezvous order. The first that answers is told; one that did not is
/// tried again after a while. Nodes may differ on it for a short time: nothing is agreed on.
class contact_order {
public:
    /// A node that did not answer two messages in a row is passed over for this long. One message
    /// may be late when a link loses packets.
    static constexpr duration silence_time = 2s;
    static constexpr std::uint32_t max_failures = 2;
    /// A node that gathers instead asks again after this long, so that two don't gather for long.
    static constexpr duration check_time = 400ms;
    /// One that does not gather now is passed over for this long.
    static constexpr duration refusal_time = 300ms;

    /// `addresses` are the IPs of the domain's nodes, in any order.
    void set_nodes(const domain_name& domain, std::vector<std::string> addresses);

    /// `self` is the address of this node if it is one of the domain, else empty: a node that is
    /// next in the order asks again sooner.
    void mark_failed(time_point now, const std::string& address, contact_failure failure,
                     const std::string& self = {});

    void mark_answered(const std::string& address) { states_.erase(address); }

    /// Returns the first node that has not failed lately, or nothing if there is none.
    std::optional<std::string> first(time_point now) const;

    std::size_t size() const { return ordered_.size(); }

private:
    domain_name domain_;
    std::vector<std::string> addresses_;
    std::vector<std::string> ordered_;
    struct contact_state {
        std::uint32_t failures = 0;
        time_point passed_over_until;
    };
    /// Nodes whose last message failed.
    std::unordered_map<std::string, contact_state> states_;
};

} // namespace trefoil
