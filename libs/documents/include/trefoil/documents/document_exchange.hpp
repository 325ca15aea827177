// Keeps a node's copies of the published documents up to date.
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

/// Asks the platform for a document that is newer than a revision; the platform may hold the
/// answer back for a while.
struct platform_read {
    document_id document = document_id::table;
    revision after;
    duration wait{0};

    friend bool operator==(const platform_read&, const platform_read&) = default;
};

/// Asks for a message to be sent to another node. It may be lost.
struct control_send {
    instance_id to;
    control_message message;
    /// Where to send it if the receiver is not listed; empty if not known.
    endpoint address;

    friend bool operator==(const control_send&, const control_send&) = default;
};

/// Tells that a newer document is in force here.
struct document_changed {
    document_id document = document_id::table;
    revision now_held;
    std::shared_ptr<const std::string> text;

    friend bool operator==(const document_changed&, const document_changed&) = default;
};

using exchange_output = std::variant<platform_read, control_send, document_changed, log_record>;
using exchange_outputs = std::vector<exchange_output>;

/// Parts of the exchange that measurements and tests switch off.
struct exchange_mechanisms {
    /// Only the readers of each failure domain read the platform, not every node.
    bool shared_reads = true;
    /// What changed is sent to the neighbours at once.
    bool push = true;
    /// What is sent are changed rows, not whole documents.
    bool deltas = true;
    /// Digests are compared with one neighbour at a time.
    bool compare = true;
    /// A receiver asks for what it lacks as soon as it notices.
    bool repair = true;
    /// A table is put in force at a start only when the neighbours have been asked.
    bool ask_before_start = true;

    friend bool operator==(const exchange_mechanisms&, const exchange_mechanisms&) = default;
};

/// What the exchange needs to know of its node.
struct exchange_settings {
    instance_id self;
    domain_name domain;
    region_name region;
    /// Where other nodes send control messages to.
    endpoint control;
    /// Nodes to reckon with as long as no list is known.
    std::size_t planned_nodes = 1;
    std::uint64_t seed = 0;
    /// Says whether a document's text may come into force. Must depend on the text alone.
    std::function<absl::Status(document_id, std::string_view)> validate;
    exchange_mechanisms mechanisms;
};

/// State of one document for operators.
struct document_status {
    revision held;
    std::uint64_t hash = 0;
    /// When the held revision came into force here.
    time_point since;
    /// When its age was last confirmed by the platform or a neighbour.
    time_point confirmed;
    /// `platform`, a neighbour's instance id, or empty.
    std::string source;
    /// The highest revision that any node or the platform told of.
    revision heard;
    /// True if this node reads the document from the platform for its failure domain.
    bool is_reader = false;

    friend bool operator==(const document_status&, const document_status&) = default;
};

/// The documents of one node: what it holds, whom it asks and whom it tells. Revisions never fall.
/// It does no I/O; its outputs say what to do.
class document_exchange {
public:
    explicit document_exchange(exchange_settings settings);
    ~document_exchange();
    document_exchange(document_exchange&&) noexcept;
    document_exchange& operator=(document_exchange&&) noexcept;

    /// Begins; called once.
    exchange_outputs start(time_point now);
    /// The platform answered a read with a document.
    exchange_outputs on_read(time_point now, document_id document, revision at,
                             const std::string& text);
    /// The platform has nothing newer.
    exchange_outputs on_unchanged(time_point now, document_id document);
    /// The platform can't be reached or gave no usable answer.
    exchange_outputs on_platform_failed(time_point now, document_id document);
    /// A message of another node.
    exchange_outputs on_message(time_point now, const instance_id& from,
                                const control_message& message);
    /// The fleet has changed.
    void members_changed(time_point now, const membership& members);
    /// Does what is due.
    exchange_outputs advance(time_point now);
    /// When advance() has something to do next.
    std::optional<time_point> next_wake() const;

    document_status status(document_id document) const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace trefoil
