#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include <fmt/format.h>

#include "neighbours.hpp"
#include "platform_reads.hpp"
#include "reader_duty.hpp"

using namespace trefoil;

namespace {

constexpr int domain_count = 4;
constexpr int node_count = 200;

instance_id node(int number) {
    return instance_id(fmt::format("n{:03}", number));
}

domain_name domain_of(int number) {
    return domain_name(fmt::format("d{}", number % domain_count));
}

membership whole_fleet(const std::set<int>& leaving = {}) {
    std::vector<member> members;
    for (int i = 0; i < node_count; ++i) {
        const auto state = leaving.contains(i) ? member_state::leaving : member_state::live;
        members.push_back({node(i),
                           service_name("s"),
                           domain_of(i),
                           region_name("r"),
                           {"127.0.0.1", 1},
                           {"127.0.0.1", 2},
                           state});
    }
    membership fleet;
    fleet.replace(std::move(members));
    return fleet;
}

neighbours neighbours_of(int number, const membership& fleet) {
    neighbours near(node(number), domain_of(number));
    near.members_changed(fleet);
    return near;
}

std::set<int> readers_at(std::uint64_t epoch, const std::string& domain) {
    std::set<int> readers;
    const auto fleet = whole_fleet();
    for (int i = 0; i < node_count; ++i) {
        reader_duty duty(node(i), domain_of(i));
        duty.members_changed(neighbours_of(i, fleet).own_domain());
        duty.heard_epoch(time_point(), epoch);
        if (domain_of(i).str() == domain && duty.is_reader()) {
            readers.insert(i);
        }
    }
    return readers;
}

read_situation situation(std::size_t rank, std::size_t nodes = 10) {
    return {revision{5}, time_point(100s), rank, nodes, true};
}

} // namespace

TEST_CASE("each domain has two readers in every epoch, and the duty moves") {
    const auto now = readers_at(7, "d1");
    const auto later = readers_at(8, "d1");
    CHECK(now.size() == readers_per_domain);
    CHECK(later.size() == readers_per_domain);
    CHECK(now != later);
}

TEST_CASE("the epoch moves on after its time, or when a higher one is heard of") {
    reader_duty duty(node(0), domain_of(0));
    duty.start(time_point(0s));
    duty.advance(time_point(epoch_length - 1us));
    CHECK(duty.epoch() == 1);
    duty.advance(time_point(epoch_length));
    CHECK(duty.epoch() == 2);
    duty.heard_epoch(time_point(70s), 9);
    CHECK(duty.epoch() == 9);
    duty.heard_epoch(time_point(71s), 4);
    CHECK(duty.epoch() == 9);
    CHECK(duty.next_wake() == time_point(70s) + epoch_length);
}

TEST_CASE("every node is somebody's neighbour and has some in both its own and another domain") {
    const auto fleet = whole_fleet();
    std::set<instance_id> reached;
    for (int i = 0; i < node_count; ++i) {
        const auto near = neighbours_of(i, fleet);
        CHECK(near.chosen().size() == own_domain_neighbours + other_domain_neighbours);
        std::size_t own = 0;
        for (const auto& chosen : near.chosen()) {
            CHECK(chosen != node(i));
            own += fleet.find(chosen)->domain == domain_of(i) ? 1 : 0;
            reached.insert(chosen);
        }
        CHECK(own == own_domain_neighbours);
    }
    CHECK(reached.size() == node_count);
}

TEST_CASE("a leaving member is nobody's neighbour") {
    const auto fleet = whole_fleet({8});
    for (int i = 0; i < node_count; ++i) {
        const auto near = neighbours_of(i, fleet);
        for (const auto& chosen : near.chosen()) {
            CHECK(chosen != node(8));
        }
    }
}

TEST_CASE("a silent neighbour is replaced, and comes back when it is heard from or in time") {
    const auto fleet = whole_fleet();
    auto near = neighbours_of(0, fleet);
    const auto before = near.chosen();
    const auto& silent = before.front();
    for (int i = 0; i < 3; ++i) {
        near.asked(time_point(10s), silent);
    }
    CHECK(near.chosen().size() == before.size());
    CHECK(near.chosen() != before);
    SUBCASE("heard from") {
        near.heard_from(silent);
    }
    SUBCASE("in time") {
        CHECK_FALSE(near.advance(time_point(60s)));
        CHECK(near.advance(time_point(70s)));
    }
    CHECK(near.chosen() == before);
}

TEST_CASE("readers read at once, standbys one after the other, all others after a minute") {
    const platform_reads reads(document_id::table, 1);
    CHECK(*reads.due(situation(0)) <= time_point(100s));
    auto previous = time_point(100s);
    for (std::size_t rank = readers_per_domain; rank < readers_per_domain + standbys_per_domain;
         ++rank) {
        CHECK(*reads.due(situation(rank)) > previous);
        previous = *reads.due(situation(rank));
    }
    CHECK(*reads.due(situation(50)) == time_point(160s));
}

TEST_CASE("7,300 nodes that start or lose touch at once stay below their share") {
    constexpr std::size_t nodes = 7300;
    constexpr std::size_t width = 40;
    std::vector<std::size_t> first(width);
    std::vector<std::size_t> again(2 * width);
    for (std::size_t i = 0; i < nodes; ++i) {
        platform_reads reads(document_id::table, i);
        reads.start(time_point(0s), nodes);
        const read_situation nothing{revision{}, time_point(0s), 50, nodes, true};
        ++first.at(static_cast<std::size_t>(to_seconds(reads.due(nothing)->time_since_epoch())));
        reads.open(time_point(0s), nothing);
        reads.failed(time_point(0s), nothing);
        ++again.at(static_cast<std::size_t>(to_seconds(reads.due(nothing)->time_since_epoch())));
    }
    // Half of the share is for the other document; some seconds are above the mean.
    const auto most =
        static_cast<std::size_t>(platform_calls_per_second * undutied_share / 2 * 1.25);
    CHECK(*std::max_element(first.begin(), first.end()) <= most);
    CHECK(*std::max_element(again.begin(), again.end()) <= most);
}

TEST_CASE("a refused text is watched past, and read again less and less often") {
    platform_reads reads(document_id::table, 1);
    const auto reader = situation(0);
    const refused_text bad{revision{9}, 77};
    reads.answered(time_point(100s));
    reads.refused(time_point(100s), bad);
    CHECK(reads.open(time_point(101s), reader).after == revision{9});
    reads.answered(time_point(104s));
    CHECK(reads.open(time_point(104s), reader).after == revision{5});
    reads.answered(time_point(104s));
    reads.refused(time_point(104s), bad);
    CHECK(reads.open(time_point(109s), reader).after == revision{9});
    reads.answered(time_point(112s));
    CHECK(reads.open(time_point(112s), reader).after == revision{5});
}
