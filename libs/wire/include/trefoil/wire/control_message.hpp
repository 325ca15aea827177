// Messages between nodes on the control channel. Each is sent one way; an answer is a message of
// its own.
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

/// The documents that the platform publishes for the system.
enum class document_id : std::uint8_t { table = 0, instances = 1 };

inline constexpr document_id all_documents[] = {document_id::table, document_id::instances};

std::string_view name_of(document_id document);

/// One row that was set or removed.
struct row_change {
    /// The row's first cell.
    std::string key;
    /// Key of the row it stands behind; empty for the first row.
    std::string after;
    /// The whole row; empty if it was removed.
    std::string text;
    /// The revision that changed it.
    revision changed;
    bool removed = false;

    friend bool operator==(const row_change&, const row_change&) = default;
};

/// What changed in a document between two revisions; with base 0 the whole document.
struct document_delta {
    document_id document = document_id::table;
    revision base;
    revision to;
    /// Hash of the whole document at the revision `to`.
    std::uint64_t hash = 0;
    std::string header;
    std::vector<row_change> rows;

    friend bool operator==(const document_delta&, const document_delta&) = default;
};

/// What a node holds of a document, for comparison.
struct document_digest {
    document_id document = document_id::table;
    revision held;
    std::uint64_t hash = 0;
    /// Time since the platform confirmed this state, as far as the sender has heard.
    duration age{0};
    /// The sender's epoch of reader duty.
    std::uint64_t epoch = 0;
    /// True if the digest answers one; it is not answered again.
    bool is_answer = false;
    /// The sender's control listener, for receivers that have no instance list yet.
    endpoint reply_to;

    friend bool operator==(const document_digest&, const document_digest&) = default;
};

/// Asks for what changed after a revision; revision 0 asks for the whole document.
struct document_pull {
    document_id document = document_id::table;
    revision held;
    /// The sender's control listener.
    endpoint reply_to;

    friend bool operator==(const document_pull&, const document_pull&) = default;
};

/// An instance takes no new work any more.
struct leaving_notice {
    instance_id instance;
    incarnation_id incarnation;

    friend bool operator==(const leaving_notice&, const leaving_notice&) = default;
};

/// State of a request that is suspected of crashing targets.
enum class suspicion : std::uint8_t { suspected = 0, convicted = 1, cleared = 2 };

std::string_view name_of(suspicion state);

/// Most requests that one notice tells of.
inline constexpr std::size_t max_suspects_in_notice = 256;

/// Tells neighbours of requests that were in flight when a target died.
struct suspect_notice {
    std::vector<std::uint64_t> fingerprints;
    suspicion state = suspicion::suspected;
    /// How long the state is held from now on.
    duration lifetime{0};
    /// Names the crash that they were first suspected for; 0 if it is not known.
    std::uint64_t incident = 0;

    friend bool operator==(const suspect_notice&, const suspect_notice&) = default;
};

using control_message =
    std::variant<document_delta, document_digest, document_pull, leaving_notice, suspect_notice>;

} // namespace trefoil
