#include <trefoil/documents/document_copy.hpp>

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <unordered_set>

#include <trefoil/base/error.hpp>
#include <trefoil/base/hash.hpp>
#include <trefoil/table/csv.hpp>

namespace trefoil {
namespace {

/// Returns a row's key: the first cell without quotes and surrounding blanks.
std::string first_cell(std::string_view line, char separator) {
    const auto start = line.find_first_not_of(" \t");
    if (start != std::string_view::npos && line[start] == '"') {
        const auto cells = split_csv_line(line, separator);
        return cells ? cells->front() : std::string(line);
    }
    const auto cell = line.substr(0, line.find(separator));
    const auto end = cell.find_last_not_of(" \t");
    if (start == std::string_view::npos || end == std::string_view::npos) {
        return {};
    }
    return std::string(cell.substr(start, end - start + 1));
}

/// Marks the positions that belong to one longest increasing subsequence (patience sorting;
/// Schensted 1961).
std::vector<bool> longest_increasing(const std::vector<std::size_t>& values) {
    std::vector<bool> chosen(values.size(), std::is_sorted(values.begin(), values.end()));
    if (values.empty() || chosen.front()) {
        return chosen;
    }
    std::vector<std::size_t> tails;
    std::vector<std::size_t> before(values.size(), values.size());
    for (std::size_t i = 0; i < values.size(); ++i) {
        const auto at =
            std::lower_bound(tails.begin(), tails.end(), values[i],
                             [&](std::size_t tail, std::size_t v) { return values[tail] < v; });
        if (at != tails.begin()) {
            before[i] = *std::prev(at);
        }
        if (at == tails.end()) {
            tails.push_back(i);
        } else {
            *at = i;
        }
    }
    for (auto i = tails.back(); i < values.size(); i = before[i]) {
        chosen[i] = true;
    }
    return chosen;
}

/// Maps the key of each row to its position.
std::unordered_map<std::string_view, std::size_t>
positions_by_key(const std::vector<document_row_ptr>& rows) {
    std::unordered_map<std::string_view, std::size_t> found;
    found.reserve(rows.size());
    for (std::size_t i = 0; i < rows.size(); ++i) {
        found.emplace(rows[i]->key, i);
    }
    return found;
}

std::string join_rows(std::string_view header, const std::vector<document_row_ptr>& rows) {
    std::size_t size = header.size() + 1;
    for (const auto& row : rows) {
        size += row->text.size() + 1;
    }
    std::string text;
    text.reserve(size);
    text.append(header).push_back('\n');
    for (const auto& row : rows) {
        text.append(row->text).push_back('\n');
    }
    return text;
}

/// Merges the changed rows of a delta into the rows of a document. Each changed row names the row
/// that it follows.
class delta_merger {
public:
    explicit delta_merger(const document_delta& delta) {
        for (const auto& change : delta.rows) {
            replaced_.insert(change.key);
            if (!change.removed) {
                rows_after_[change.previous_key].push_back(&change);
                ++expected_;
            }
        }
    }

    /// Returns the merged rows, or nothing if a changed row follows a row that does not exist.
    std::optional<std::vector<document_row_ptr>> merge(const std::vector<document_row_ptr>& rows) {
        merged_.reserve(rows.size() + expected_);
        add_rows_after("");
        for (const auto& row : rows) {
            if (!replaced_.contains(row->key)) {
                merged_.push_back(row);
                add_rows_after(row->key);
            }
        }
        if (added_ != expected_) {
            return std::nullopt;
        }
        return std::move(merged_);
    }

private:
    /// Adds the changed row that follows a key, then the one that follows that row, and so on.
    void add_rows_after(std::string_view key) {
        while (true) {
            const auto found = rows_after_.find(key);
            if (found == rows_after_.end() || found->second.empty()) {
                return;
            }
            const auto* change = found->second.front();
            found->second.erase(found->second.begin());
            ++added_;
            merged_.push_back(std::make_shared<const document_row>(
                document_row{change->key, change->text, change->changed_revision}));
            key = change->key;
        }
    }

    std::unordered_set<std::string_view> replaced_;
    std::unordered_map<std::string_view, std::vector<const row_change*>> rows_after_;
    std::vector<document_row_ptr> merged_;
    std::size_t expected_ = 0;
    std::size_t added_ = 0;
};

} // namespace

absl::StatusCode status_code(delta_failure) {
    return absl::StatusCode::kFailedPrecondition;
}

std::string_view name_of(delta_failure failure) {
    switch (failure) {
    case delta_failure::base_too_new:
        return "base_too_new";
    case delta_failure::row_missing:
        return "row_missing";
    case delta_failure::hash_differs:
        return "hash_differs";
    }
    return "hash_differs";
}

document_copy document_copy::with_text(std::string_view text, revision at) const {
    auto lines = split_lines(text);
    const std::string header(lines.empty() ? std::string_view() : lines.front());
    const char separator = detect_separator(header);
    const auto old = positions_by_key(rows_);
    std::vector<std::string> keys;
    std::vector<std::size_t> kept_positions;
    std::unordered_set<std::string_view> present;
    keys.reserve(lines.size());
    present.reserve(lines.size());
    for (std::size_t i = 1; i < lines.size(); ++i) {
        keys.push_back(first_cell(lines[i], separator));
        const auto found = old.find(keys.back());
        if (found != old.end() && present.insert(found->first).second) {
            kept_positions.push_back(found->second);
        }
    }
    const auto in_place = longest_increasing(kept_positions);
    document_copy next;
    next.tombstones_ = tombstones_;
    next.tombstone_horizon_ = at_.value == 0 ? at : tombstone_horizon_;
    next.rows_.reserve(keys.size());
    std::size_t kept = 0;
    for (std::size_t i = 0; i < keys.size(); ++i) {
        const bool is_kept =
            kept < kept_positions.size() && rows_[kept_positions[kept]]->key == keys[i];
        if (is_kept && in_place[kept] && rows_[kept_positions[kept]]->text == lines[i + 1]) {
            next.rows_.push_back(rows_[kept_positions[kept]]);
        } else {
            next.rows_.push_back(std::make_shared<const document_row>(
                document_row{std::move(keys[i]), std::string(lines[i + 1]), at}));
        }
        kept += is_kept ? 1 : 0;
    }
    for (const auto& row : rows_) {
        if (!present.contains(row->key)) {
            next.add_tombstone(row->key, at);
        }
    }
    next.finalize(header, at);
    return next;
}

absl::StatusOr<document_copy> document_copy::with_delta(const document_delta& delta) const {
    if (delta.base > at_) {
        return make_error(delta_failure::base_too_new,
                          "base revision of the delta is newer than the local document");
    }
    document_copy next;
    if (delta.base.value == 0) {
        std::string text = delta.header + "\n";
        for (const auto& change : delta.rows) {
            text.append(change.text).push_back('\n');
        }
        next = with_text(text, delta.to);
    } else {
        auto merged = delta_merger(delta).merge(rows_);
        if (!merged) {
            return make_error(delta_failure::row_missing,
                              "no place for a changed row: the row before it does not exist");
        }
        next.rows_ = *std::move(merged);
        next.tombstones_ = tombstones_;
        next.tombstone_horizon_ = tombstone_horizon_;
        for (const auto& change : delta.rows) {
            if (change.removed) {
                next.add_tombstone(change.key, change.changed_revision);
            }
        }
        next.finalize(delta.header, delta.to);
    }
    if (next.hash_ != delta.hash) {
        return make_error(delta_failure::hash_differs,
                          "hash of the result differs from that of the sender");
    }
    return next;
}

document_delta document_copy::changes_since(document_id document, revision base) const {
    const bool is_whole = base.value == 0 || base < tombstone_horizon_;
    document_delta delta{document, is_whole ? revision{} : base, at_, hash_, header_, {}};
    const document_row* previous = nullptr;
    for (const auto& row : rows_) {
        if (is_whole || row->changed > base) {
            const bool needs_place = !is_whole && previous != nullptr;
            delta.rows.push_back(
                {row->key, needs_place ? previous->key : "", row->text, row->changed, false});
        }
        previous = row.get();
    }
    if (is_whole) {
        return delta;
    }
    const auto present = positions_by_key(rows_);
    for (const auto& removed : tombstones_) {
        if (removed.removed > base && !present.contains(removed.key)) {
            delta.rows.push_back({removed.key, "", "", removed.removed, true});
        }
    }
    return delta;
}

void document_copy::finalize(std::string header, revision at) {
    at_ = at;
    header_ = std::move(header);
    text_ = std::make_shared<const std::string>(join_rows(header_, rows_));
    hash_ = stable_hash(*text_);
}

void document_copy::add_tombstone(std::string key, revision removed) {
    tombstones_.push_back({std::move(key), removed});
    if (tombstones_.size() > max_tombstones) {
        tombstone_horizon_ = std::max(tombstone_horizon_, tombstones_.front().removed);
        tombstones_.pop_front();
    }
}

} // namespace trefoil
