// One version of a published document: its rows, the tombstones of removed rows and its hash.
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

/// Errors that can occur when a delta is applied.
enum class delta_failure {
    /// The base revision of the delta is newer than the copy.
    base_too_new,
    /// The delta inserts a row after a row that the copy does not contain.
    row_missing,
    /// The hash of the result differs from the hash of the sender's document.
    hash_differs,
};

absl::StatusCode status_code(delta_failure failure);
std::string_view name_of(delta_failure failure);

/// One line of a document, without the header line.
struct document_row {
    /// The line's first cell.
    std::string key;
    /// The whole line, without its line end.
    std::string text;
    /// The revision at which this node observed the last change or move of the line.
    revision changed;

    friend bool operator==(const document_row&, const document_row&) = default;
};

/// Versions of a document share their unchanged rows.
using document_row_ptr = std::shared_ptr<const document_row>;

/// Records the removal of a row.
struct tombstone {
    std::string key;
    revision removed;

    friend bool operator==(const tombstone&, const tombstone&) = default;
};

/// Maximum number of tombstones in a copy. Changes since a revision older than the kept tombstones
/// are sent as a whole document.
inline constexpr std::size_t max_tombstones = 1000;

/// An immutable version of a document. A default-constructed copy is empty and has revision 0.
class document_copy {
public:
    /// Revision of this version.
    revision at() const { return at_; }
    /// Hash of the text.
    std::uint64_t hash() const { return hash_; }
    /// The text with LF line ends and without a byte order mark; never null.
    const std::shared_ptr<const std::string>& text() const { return text_; }
    const std::vector<document_row_ptr>& rows() const { return rows_; }

    /// Returns the version for a newer text. Unchanged rows keep their revision; a row that moved
    /// relative to the others counts as changed.
    document_copy with_text(std::string_view text, revision at) const;

    /// Returns the version that results from applying a delta, or a delta_failure.
    absl::StatusOr<document_copy> with_delta(const document_delta& delta) const;

    /// Returns the rows that changed after the base revision. The result is the whole document,
    /// with base 0, if the base is 0 or the tombstones of removals since then were dropped.
    document_delta changes_since(document_id document, revision base) const;

private:
    /// Sets header, revision, text and hash once the rows are complete.
    void finalize(std::string header, revision at);
    /// Adds a tombstone and drops the oldest one if there are more than max_tombstones.
    void add_tombstone(std::string key, revision removed);

    revision at_;
    std::uint64_t hash_ = 0;
    std::string header_;
    std::vector<document_row_ptr> rows_;
    std::deque<tombstone> tombstones_;
    /// Tombstones may be missing for removals at or before this revision.
    revision tombstone_horizon_;
    std::shared_ptr<const std::string> text_ = std::make_shared<const std::string>();
};

} // namespace trefoil
