#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <fmt/format.h>

#include <trefoil/base/error.hpp>
#include <trefoil/documents/document_copy.hpp>

using namespace trefoil;

namespace {

/// The rows of a document, in order, as pairs of key and value.
using lines = std::vector<std::pair<int, int>>;

std::string text_of(const lines& rows) {
    std::string text = "kind,value\n";
    for (const auto& [key, value] : rows) {
        text += fmt::format("k{},{}\n", key, value);
    }
    return text;
}

rc::Gen<lines> arbitrary_rows() {
    const auto row = rc::gen::pair(rc::gen::inRange(0, 40), rc::gen::inRange(0, 4));
    constexpr int max_rows = 12;
    return rc::gen::resize(
        max_rows,
        rc::gen::uniqueBy<lines>(row, [](const std::pair<int, int>& r) { return r.first; }));
}

const document_row* find(const document_copy& copy, const std::string& key) {
    for (const auto& row : copy.rows()) {
        if (row->key == key) {
            return row.get();
        }
    }
    return nullptr;
}

} // namespace

TEST_CASE("a delta between any two versions gives the newer one, in its order") {
    CHECK(rc::check([] {
        const auto first = document_copy().with_text(text_of(*arbitrary_rows()), {3});
        auto last = first;
        const auto versions = *rc::gen::inRange(1, 6);
        for (int i = 0; i < versions; ++i) {
            last = last.with_text(text_of(*arbitrary_rows()), {last.at().value + 1});
        }
        const auto delta = last.changes_since(document_id::table, first.at());
        const auto merged = first.with_delta(delta);
        RC_ASSERT(merged.ok());
        RC_ASSERT(*merged->text() == *last.text());
        RC_ASSERT(merged->at() == last.at());
        RC_ASSERT(merged->hash() == last.hash());
    }));
}

TEST_CASE("a delta applied to a version it was not made for is refused or gives the document") {
    CHECK(rc::check([] {
        const auto other = document_copy().with_text(text_of(*arbitrary_rows()), {5});
        const auto base = document_copy().with_text(text_of(*arbitrary_rows()), {4});
        const auto last = base.with_text(text_of(*arbitrary_rows()), {6});
        const auto merged = other.with_delta(last.changes_since(document_id::table, {4}));
        const bool is_right = !merged.ok() || *merged->text() == *last.text();
        RC_ASSERT(is_right);
    }));
}

TEST_CASE("only changed rows carry the new revision and are part of the delta") {
    const auto first = document_copy().with_text("h,x\na,1\nb,1\nc,1\n", {1});
    const auto second = first.with_text("h,x\na,1\nb,2\nc,1\n", {2});
    CHECK(find(second, "a")->changed == revision{1});
    CHECK(find(second, "b")->changed == revision{2});
    const auto delta = second.changes_since(document_id::table, {1});
    REQUIRE(delta.rows.size() == 1);
    CHECK(delta.rows.front() == row_change{"b", "a", "b,2", {2}, false});
}

TEST_CASE("a row that moves is one change, not all rows behind it") {
    const auto first = document_copy().with_text("h,x\na,1\nb,1\nc,1\nd,1\n", {1});
    const auto second = first.with_text("h,x\nb,1\nc,1\nd,1\na,1\n", {2});
    const auto delta = second.changes_since(document_id::table, {1});
    REQUIRE(delta.rows.size() == 1);
    CHECK(delta.rows.front().key == "a");
    CHECK(delta.rows.front().previous_key == "d");
}

TEST_CASE("removals are sent as tombstones, and as whole documents once these are dropped") {
    std::string many = "h,x\nfixed,1\n";
    for (std::size_t i = 0; i <= max_tombstones; ++i) {
        many += fmt::format("r{},1\n", i);
    }
    const auto first = document_copy().with_text("h,x\nfixed,1\nlast,1\n", {1});
    const auto second = first.with_text("h,x\nfixed,1\n", {2});
    const auto removal = second.changes_since(document_id::table, {1});
    REQUIRE(removal.rows.size() == 1);
    CHECK(removal.rows.front().removed);
    const auto third = second.with_text(many, {3}).with_text("h,x\nfixed,1\n", {4});
    const auto whole = third.changes_since(document_id::table, {1});
    CHECK(whole.base == revision{0});
    const auto merged = first.with_delta(whole);
    REQUIRE(merged.ok());
    CHECK(*merged->text() == *third.text());
}

TEST_CASE("a delta from a newer base is refused with its reason") {
    const auto first = document_copy().with_text("h,x\na,1\n", {1});
    const auto third = first.with_text("h,x\na,2\n", {2}).with_text("h,x\na,3\n", {3});
    const auto merged = first.with_delta(third.changes_since(document_id::table, {2}));
    CHECK(is_failure(merged.status(), delta_failure::base_too_new));
}

TEST_CASE("the text has LF line ends and no byte order mark, whatever the spreadsheet wrote") {
    const auto copy = document_copy().with_text("\xEF\xBB\xBFh;x\r\n\"a;b\";1\r\n", {1});
    CHECK(*copy.text() == "h;x\n\"a;b\";1\n");
    CHECK(copy.rows().front()->key == "a;b");
}
