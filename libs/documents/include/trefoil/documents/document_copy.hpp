// One version of a published document: its rows, what removed rows left behind, its hash.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include <trefoil/base/ids.hpp>
#include <trefoil/wire/control_message.hpp>

namespace trefoil {

/// Failures of applying a delta.
enum class delta_failure {
    /// The delta starts at a revision that is newer than the copy.
    base_too_new,
    /// A row stands behind one that the copy does not have.
    row_missing,
    /// The result is not the document that the sender has.
    hash_differs,
};

absl::StatusCode status_code(delta_failure failure);
std::string_view name_of(delta_failure failure);

/// One line of a document.
struct document_row {
    /// The line's first cell.
    std::string key;
    /// The whole line without its end.
    std::string text;
    /// The revision at which this node saw the line change.
    revision changed;

    friend bool operator==(const document_row&, const document_row&) = default;
};

/// Rows are shared between the versions of a document.
using document_row_ptr = std::shared_ptr<const document_row>;

/// Notes that a row was removed.
struct tombstone {
    std::string key;
    revision removed;

    friend bool operator==(const tombstone&, const tombstone&) = default;
};

/// Tombstones that a copy keeps; older changes are sent as whole documents.
inline constexpr std::size_t max_tombstones = 1000;

/// An immutable version of a document. A default one holds nothing, at revision 0.
class document_copy {
public:
    revision at() const { return at_; }
    /// Hash of the text.
    std::uint64_t hash() const { return hash_; }
    /// The document with LF line ends and no byte order mark; never null.
    const std::shared_ptr<const std::string>& text() const { return text_; }
    const std::vector<document_row_ptr>& rows() const { return rows_; }

    /// The version that a newer text makes. Rows that stay as they are keep their revision; a row
    /// whose place among the others changed counts as changed.
    document_copy with_text(std::string_view text, revision at) const;

    /// The version that a delta makes, or a delta_failure.
    absl::StatusOr<document_copy> with_delta(const document_delta& delta) const;

    /// The rows changed after a revision; the whole document, with base 0, if the copy no longer
    /// knows what was removed since.
    document_delta changes_since(document_id document, revision base) const;

private:
    void finish(std::string header, revision at);
    void bury(std::string key, revision removed);

    revision at_;
    std::uint64_t hash_ = 0;
    std::string header_;
    std::vector<document_row_ptr> rows_;
    std::deque<tombstone> tombstones_;
    /// Removals at or before this revision are not known.
    revision floor_;
    std::shared_ptr<const std::string> text_ = std::make_shared<const std::string>();
};

} // namespace trefoil
