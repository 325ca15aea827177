#include <doctest/doctest.h>

#include <algorithm>

#include <trefoil/proxy/registry_replica.hpp>

#include "registry_poll.hpp"

using namespace trefoil;

namespace {

registry_record put(const std::string& key, std::uint64_t revision,
                    const std::string& value = "v") {
    return {key, value, revision, 1, false};
}

registry_record removal(const std::string& key, std::uint64_t revision) {
    return {key, {}, revision, 0, true};
}

registry_replica replica_at_10() {
    registry_replica replica;
    replica.merge_all({put("a", 4), put("b", 10)}, 10);
    return replica;
}

} // namespace

TEST_CASE("a node that lacks nothing gets nothing, one that lacks old changes gets everything") {
    auto replica = replica_at_10();
    CHECK(replica.changes_since(10) == registry_difference{false, {}, 10});
    CHECK(replica.changes_since(12) == registry_difference{false, {}, 10});
    CHECK(replica.changes_since(9) == registry_difference{true, {put("a", 4), put("b", 10)}, 10});
    replica.merge_changes({put("a", 11), removal("b", 12)}, 12);
    CHECK(replica.changes_since(10) ==
          registry_difference{false, {put("a", 11), removal("b", 12)}, 12});
    CHECK(replica.changes_since(11) == registry_difference{false, {removal("b", 12)}, 12});
    CHECK(replica.changes_since(0) == registry_difference{true, {put("a", 11)}, 12});
}

TEST_CASE("a late answer of another source does not bring back what was removed or replaced") {
    auto replica = replica_at_10();
    replica.merge_changes({removal("b", 12), put("a", 13, "new")}, 13);
    CHECK(replica.merge_changes({put("b", 11), put("a", 12, "old")}, 12).empty());
    CHECK(replica.merge_all({put("a", 4), put("b", 10)}, 10).empty());
    CHECK(replica.merge_changes({put("c", 9)}, 9).empty());
    CHECK(replica.revision() == 13);
    CHECK(replica.changes_since(0).records == std::vector<registry_record>{put("a", 13, "new")});
}

TEST_CASE("a complete listing removes what it lacks, but not what was added after it") {
    auto replica = replica_at_10();
    replica.merge_changes({put("c", 15)}, 15);
    const auto changes = replica.merge_all({put("b", 10), put("d", 13)}, 14);
    CHECK(changes == std::vector<registry_record>{put("d", 13), removal("a", 14)});
    CHECK(replica.changes_since(14).records == std::vector<registry_record>{put("c", 15)});
    CHECK(replica.changes_since(12).is_complete);
}

TEST_CASE("a key that is removed and published again in one answer stays published") {
    auto replica = replica_at_10();
    const std::vector<registry_record> changes = {removal("a", 11), put("a", 12)};
    CHECK(replica.merge_changes(changes, 12) == changes);
    CHECK(replica.merge_changes(changes, 12).empty());
    CHECK(replica.changes_since(0).records.size() == 2);
}

TEST_CASE("changes of a record replace each other, so that they don't fill the memory") {
    auto replica = replica_at_10();
    const auto last = 10 + 2 * registry_replica::max_changes;
    for (std::uint64_t revision = 11; revision <= last; ++revision) {
        replica.merge_changes({put("a", revision)}, revision);
        replica.merge_changes({revision % 2 == 0 ? removal("b", revision) : put("b", revision)},
                              revision);
    }
    CHECK(replica.changes_since(10) ==
          registry_difference{false, {put("a", last), removal("b", last)}, last});
    CHECK(replica.changes_since(9).is_complete);
}

TEST_CASE("a record that is newer than the listing it came with is passed on") {
    registry_replica reader;
    reader.merge_all({put("a", 4), put("b", 12)}, 10);
    reader.merge_changes({put("b", 12)}, 12);
    CHECK(reader.changes_since(10) == registry_difference{false, {put("b", 12)}, 12});
    CHECK(reader.changes_since(9).is_complete);
}

TEST_CASE("a record that a reader had before its revision is passed on after a restore") {
    registry_replica reader;
    reader.merge_all({put("a", 4), put("b", 12)}, 10);
    auto node = replica_at_10();
    reader.merge({true, {put("a", 4), put("b", 12)}, 11, 1});
    node.merge(reader.changes_since(node.position()));
    const auto all = node.changes_since(0).records;
    CHECK(std::find(all.begin(), all.end(), put("b", 12)) != all.end());
}

TEST_CASE("the changes that are kept are bounded") {
    auto replica = replica_at_10();
    for (std::uint64_t revision = 11; revision < 11 + 2 * registry_replica::max_changes;
         ++revision) {
        replica.merge_changes({put("a" + std::to_string(revision), revision)}, revision);
    }
    const auto last = replica.revision();
    CHECK(replica.changes_since(11).is_complete);
    const auto recent = replica.changes_since(last - registry_replica::max_changes);
    CHECK_FALSE(recent.is_complete);
    CHECK(recent.records.size() == registry_replica::max_changes);
}

TEST_CASE("any order of differences from two sources leads to the same copy") {
    const std::vector<registry_difference> differences = {
        {true, {put("a", 4), put("b", 10)}, 10},
        {false, {put("a", 11), removal("b", 12)}, 12},
        {true, {put("a", 11), put("c", 14)}, 14},
        {false, {put("b", 15), removal("c", 16)}, 16},
    };
    std::vector<std::size_t> order = {0, 1, 2, 3};
    do {
        registry_replica replica;
        for (const auto index : order) {
            replica.merge(differences[index]);
        }
        replica.merge(differences.back());
        CHECK(replica.revision() == 16);
        CHECK(replica.changes_since(0).records ==
              std::vector<registry_record>{put("a", 11), put("b", 15)});
    } while (std::next_permutation(order.begin(), order.end()));
}

TEST_CASE("polls and answers survive encoding, and malformed ones are refused") {
    const registry_poll poll{41, true};
    CHECK(decode_poll(encode_poll(poll)) == poll);
    registry_poll_answer answer;
    answer.difference = {true, {}, 77};
    answer.age = 12ms;
    answer.held = 340ms;
    answer.is_registry_lost = true;
    const auto decoded = decode_poll_answer(encode_poll_answer(answer));
    REQUIRE(decoded.has_value());
    CHECK(decoded->difference == answer.difference);
    CHECK(decoded->age >= answer.age);
    CHECK(decoded->held <= answer.held);
    CHECK(decoded->is_registry_lost);
    const std::vector<registry_record> records = {put("a", 1, "\"\\ x"), removal("b", 2)};
    CHECK(decode_records(encode_records(records)) == records);
    CHECK(decode_records("")->empty());
    for (const auto* text : {"", "x", "1", "1 2 3", "-1 0", "99999999999999999999 0"}) {
        CHECK_FALSE(decode_poll(text).has_value());
        CHECK_FALSE(decode_poll_answer(text).has_value());
    }
    CHECK(decode_since_failure(encode_since_failure(1200ms)) == 1200ms);
    CHECK_FALSE(decode_since_failure("").has_value());
    CHECK_FALSE(decode_since_failure("1 2").has_value());
    CHECK_FALSE(decode_poll_answer("1 0 99999999999 0 0").has_value());
    for (const auto* text : {"{", "1", "[[]]", "[[1,2,3,4,5]]", R"([["a","v",-1,0,false]])"}) {
        CHECK_FALSE(decode_records(text).has_value());
    }
}

TEST_CASE("records that are nested deeply are refused without filling the memory") {
    CHECK_FALSE(decode_records(std::string(1U << 20U, '[')).has_value());
}

TEST_CASE("a newer era replaces what is known, whatever its revisions") {
    auto replica = replica_at_10();
    const auto changes = replica.merge({true, {put("a", 4), put("c", 6)}, 7, 1});
    CHECK(changes == std::vector<registry_record>{put("c", 6), removal("b", 7)});
    CHECK(replica.position() == registry_position{1, 7});
    CHECK(replica.merge({false, {put("a", 8, "new")}, 8, 1}).size() == 1);
    CHECK(replica.changes_since(0).records ==
          std::vector<registry_record>{put("a", 8, "new"), put("c", 6)});
}

TEST_CASE("what comes from an older era changes nothing") {
    auto replica = replica_at_10();
    replica.merge({true, {put("a", 4)}, 7, 2});
    CHECK(replica.merge({true, {put("a", 9, "old")}, 50, 1}).empty());
    CHECK(replica.merge({false, {removal("a", 51)}, 51, 0}).empty());
    CHECK(replica.position() == registry_position{2, 7});
    CHECK(replica.changes_since(0).records == std::vector<registry_record>{put("a", 4)});
}

TEST_CASE("a node at the position before the era gets what differs, others get everything") {
    auto reader = replica_at_10();
    auto node = replica_at_10();
    reader.merge({true, {put("a", 4), put("c", 6)}, 7, 1});
    reader.merge({false, {put("c", 9, "new")}, 9, 1});
    auto difference = reader.changes_since(node.position());
    CHECK(difference ==
          registry_difference{false, {put("c", 6), removal("b", 7), put("c", 9, "new")}, 9, 1});
    node.merge(std::move(difference));
    CHECK(node.position() == reader.position());
    CHECK(node.changes_since(0).records == reader.changes_since(0).records);
    CHECK(reader.changes_since(registry_position{0, 9}).is_complete);
    CHECK_FALSE(reader.changes_since(registry_position{2, 1}).is_complete);
}

TEST_CASE("a node that takes over an era by its differences knows later changes of the rest") {
    auto reader = replica_at_10();
    auto node = replica_at_10();
    // The copy has an older "b" than what is in force.
    reader.merge({true, {put("a", 4), put("b", 5, "older")}, 7, 1});
    reader.keep(put("b", 10));
    node.merge(reader.changes_since(node.position()));
    CHECK(node.position() == registry_position{1, 7});
    CHECK(node.merge({false, {put("b", 8, "again")}, 8, 1}) ==
          std::vector<registry_record>{put("b", 8, "again")});
}

TEST_CASE("the era of a poll has a field of its own, which may be missing") {
    CHECK(decode_era(encode_era(17)) == 17);
    CHECK(decode_era("") == 0);
    CHECK(decode_era("1 2") == 0);
    CHECK(decode_era("x") == 0);
}
