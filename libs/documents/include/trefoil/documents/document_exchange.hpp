// Replicates the documents that the platform publishes to one node.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <absl/status/status.h>

#include <trefoil/base/log.hpp>
#include <trefoil/base/time.hpp>
#include <trefoil/membership/membership.hpp>
#include <trefoil/wire/control_message.hpp>

namespace trefoil {

/// Output: a read of a document from the platform.
struct platform_read {
    document_id document = document_id::table;
    /// Only a version newer than this revision is wanted.
    revision after;
    /// How long the platform may delay its answer until a newer version exists (long polling).
    duration wait{0};

    friend bool operator==(const platform_read&, const platform_read&) = default;
};

/// Output: a message to send to another node. Delivery is not guaranteed.
struct control_send {
    instance_id to;
    control_message message;
    /// Address to use if the receiver is not in the instance list; empty if unknown.
    endpoint address;

    friend bool operator==(const control_send&, const control_send&) = default;
};

/// Output: a new version of a document is in force on this node.
struct document_changed {
    document_id document = document_id::table;
    /// Revision of the version now in force.
    revision now_held;
    std::shared_ptr<const std::string> text;

    friend bool operator==(const document_changed&, const document_changed&) = default;
};

/// An action that the caller of document_exchange has to perform.
using exchange_output = std::variant<platform_read, control_send, document_changed, log_record>;
using exchange_outputs = std::vector<exchange_output>;

/// Mechanisms of the exchange. Benchmarks and tests disable them individually.
struct exchange_mechanisms {
    /// Only the elected readers of each failure domain read from the platform, not every node.
    bool shared_reads = true;
    /// Changes are sent to the neighbours immediately.
    bool push = true;
    /// Pushed messages contain the changed rows instead of the whole document.
    bool deltas = true;
    /// Digests are compared periodically, with one neighbour at a time.
    bool anti_entropy = true;
    /// A node that detects missing changes requests them immediately.
    bool pull = true;
    /// After a start, the first table comes into force only when a neighbour has answered whether
    /// it holds a newer one, or after a time limit.
    bool query_neighbours_first = true;

    friend bool operator==(const exchange_mechanisms&, const exchange_mechanisms&) = default;
};

/// Settings of a document_exchange.
struct exchange_settings {
    instance_id self;
    domain_name domain;
    region_name region;
    /// Address at which this node receives control messages.
    endpoint control;
    /// Lower bound of the assumed fleet size; used alone until an instance list is known.
    std::size_t planned_nodes = 1;
    /// Seed of the pseudo-random jitter.
    std::uint64_t seed = 0;
    /// Checks whether a document's text may come into force. The result must depend on the text
    /// alone.
    std::function<absl::Status(document_id, std::string_view)> validate;
    exchange_mechanisms mechanisms;
};

/// State of one document, as reported to operators.
struct document_status {
    /// Revision in force; 0 if there is none.
    revision held;
    /// Hash of the text in force; 0 if there is none.
    std::uint64_t hash = 0;
    /// When this node accepted its current version, or when it started if it has none.
    time_point in_force_since;
    /// When the platform last confirmed that the version is current, as observed by this node or
    /// reported by a neighbour.
    time_point confirmed_at;
    /// Source of the version: `platform`, a neighbour's instance id, or empty if there is none.
    std::string source;
    /// The highest revision received from the platform or announced by any node.
    revision latest_known;
    /// True if this node is one of the elected platform readers of its failure domain.
    bool is_reader = false;

    friend bool operator==(const document_status&, const document_status&) = default;
};

/// Replicates the published documents to one node. It schedules reads from the platform, pushes
/// changes to neighbouring nodes, compares digests with them and pulls missing changes. The held
/// revision of a document never decreases. The class performs no I/O: each call returns the actions
/// that the caller has to perform.
class document_exchange {
public:
    explicit document_exchange(exchange_settings settings);
    ~document_exchange();
    document_exchange(document_exchange&&) noexcept;
    document_exchange& operator=(document_exchange&&) noexcept;

    /// Starts the exchange. Must be called once, before all other functions.
    exchange_outputs start(time_point now);
    /// Handles a document that the platform returned for a read.
    exchange_outputs on_read(time_point now, document_id document, revision at,
                             const std::string& text);
    /// Handles the platform's answer that no newer version exists.
    exchange_outputs on_unchanged(time_point now, document_id document);
    /// Handles a failed read: the platform is unreachable or its answer is unusable.
    exchange_outputs on_platform_failed(time_point now, document_id document);
    /// Handles a message from another node.
    exchange_outputs on_message(time_point now, const instance_id& from,
                                const control_message& message);
    /// Updates the neighbours and the reader ranking after a change of the fleet.
    void on_members_changed(time_point now, const membership& members);
    /// Performs the actions that are due, such as comparisons, platform reads and time-outs.
    exchange_outputs advance(time_point now);
    /// Time at which advance() must be called next.
    std::optional<time_point> next_wake() const;

    document_status status(document_id document) const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace trefoil
