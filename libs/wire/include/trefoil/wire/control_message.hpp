// Messages between nodes on the control channel. Each is sent one way; a reply is a separate
// message.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <trefoil/base/endpoint.hpp>
#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>

namespace trefoil {

/// The documents that the platform publishes: the operators' table and the instance list.
enum class document_id : std::uint8_t { table = 0, instances = 1 };

inline constexpr document_id all_documents[] = {document_id::table, document_id::instances};

std::string_view name_of(document_id document);

/// A row of a document that was added, changed or removed.
struct row_change {
    /// First cell of the row.
    std::string key;
    /// Key of the preceding row; empty for the first row.
    std::string previous_key;
    /// Text of the whole row; empty if the row was removed.
    std::string text;
    /// Revision in which the row was changed.
    revision changed_revision;
    bool removed = false;

    friend bool operator==(const row_change&, const row_change&) = default;
};

/// The changes of a document between the revisions `base` and `to`. With base 0 it holds the whole
/// document.
struct document_delta {
    document_id document = document_id::table;
    revision base;
    revision to;
    /// Hash of the whole document at revision `to`.
    std::uint64_t hash = 0;
    std::string header;
    std::vector<row_change> rows;

    friend bool operator==(const document_delta&, const document_delta&) = default;
};

/// Summary of the sender's copy of a document, from which the receiver detects a difference to its
/// own copy (anti-entropy).
struct document_digest {
    document_id document = document_id::table;
    revision held_revision;
    std::uint64_t hash = 0;
    /// Time since the platform last confirmed this state, as known to the sender.
    duration age{0};
    /// Epoch of the reader election at the sender.
    std::uint64_t epoch = 0;
    /// True if this digest is the reply to another one; no reply is sent to it.
    bool is_answer = false;
    /// Address of the sender's control listener, for receivers without an instance list.
    endpoint reply_to;

    friend bool operator==(const document_digest&, const document_digest&) = default;
};

/// Requests the changes of a document after the revision `held`; revision 0 requests the whole
/// document.
struct document_pull {
    document_id document = document_id::table;
    revision held_revision;
    /// Address of the sender's control listener.
    endpoint reply_to;

    friend bool operator==(const document_pull&, const document_pull&) = default;
};

/// Announces that an instance is leaving and accepts no new work.
struct leaving_notice {
    instance_id instance;
    incarnation_id incarnation;

    friend bool operator==(const leaving_notice&, const leaving_notice&) = default;
};

/// State of a request that is or was suspected of crashing targets.
enum class suspicion : std::uint8_t { suspected = 0, convicted = 1, cleared = 2 };

std::string_view name_of(suspicion state);

/// Maximum number of fingerprints in one suspect_notice.
inline constexpr std::size_t max_suspects_in_notice = 256;

/// Informs neighbours about requests that were in flight when a target crashed.
struct suspect_notice {
    /// Fingerprints of the requests.
    std::vector<std::uint64_t> fingerprints;
    suspicion state = suspicion::suspected;
    /// Time for which the receiver keeps the state.
    duration lifetime{0};
    /// Identifies the crash for which the requests were first suspected; 0 if it is not known.
    std::uint64_t incident = 0;

    friend bool operator==(const suspect_notice&, const suspect_notice&) = default;
};

using control_message =
    std::variant<document_delta, document_digest, document_pull, leaving_notice, suspect_notice>;

} // namespace trefoil
