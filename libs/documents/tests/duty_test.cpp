#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include <fmt/format.h>

#include "neighbours.hpp"
#include "platform_reads.hpp"
#include "reader_election.hpp"

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
    neighbours selection(node(number), domain_of(number));
    selection.members_changed(fleet);
    return selection;
}

std::set<int> readers_at(std::uint64_t epoch, const std::string& domain) {
    std::set<int> readers;
    const auto fleet = whole_fleet();
    for (int i = 0; i < node_count; ++i) {
        reader_election election(node(i), domain_of(i));
        election.members_changed(neighbours_of(i, fleet).own_domain());
        election.on_epoch(time_point(), epoch);
        if (domain_of(i).str() == domain && election.is_reader()) {
            readers.insert(i);
        }
    }
    return readers;
}

read_conditions conditions(std::size_t rank, std::size_t nodes = 10) {
    return {revision{5}, time_point(100s), rank, nodes, true};
}

} // namespace

TEST_CASE("each domain has two readers in every epoch, and the readers change") {
    const auto now = readers_at(7, "d1");
    const auto later = readers_at(8, "d1");
    CHECK(now.size() == readers_per_domain);
    CHECK(later.size() == readers_per_domain);
    CHECK(now != later);
}

TEST_CASE("the epoch advances when its time is over or when a higher one is received") {
    reader_election election(node(0), domain_of(0));
    election.start(time_point(0s));
    election.advance(time_point(epoch_length - 1us));
    CHECK(election.epoch() == 1);
    election.advance(time_point(epoch_length));
    CHECK(election.epoch() == 2);
    election.on_epoch(time_point(70s), 9);
    CHECK(election.epoch() == 9);
    election.on_epoch(time_point(71s), 4);
    CHECK(election.epoch() == 9);
    CHECK(election.next_wake() == time_point(70s) + epoch_length);
}

TEST_CASE("every node is somebody's neighbour and has some in both its own and another domain") {
    const auto fleet = whole_fleet();
    std::set<instance_id> reached;
    for (int i = 0; i < node_count; ++i) {
        const auto selection = neighbours_of(i, fleet);
        CHECK(selection.chosen().size() == own_domain_neighbours + other_domain_neighbours);
        std::size_t own = 0;
        for (const auto& chosen : selection.chosen()) {
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
        const auto selection = neighbours_of(i, fleet);
        for (const auto& chosen : selection.chosen()) {
            CHECK(chosen != node(8));
        }
    }
}

TEST_CASE(
    "a silent neighbour is replaced until a message from it arrives or its suspicion expires") {
    const auto fleet = whole_fleet();
    auto selection = neighbours_of(0, fleet);
    const auto before = selection.chosen();
    const auto& silent = before.front();
    for (int i = 0; i < 3; ++i) {
        selection.on_comparison_sent(time_point(10s), silent);
    }
    CHECK(selection.chosen().size() == before.size());
    CHECK(selection.chosen() != before);
    SUBCASE("message received") {
        selection.on_message_from(silent);
    }
    SUBCASE("suspicion expired") {
        CHECK_FALSE(selection.advance(time_point(60s)));
        CHECK(selection.advance(time_point(70s)));
    }
    CHECK(selection.chosen() == before);
}

TEST_CASE("readers read at once, standbys one after the other, all others after a minute") {
    const platform_read_scheduler scheduler(document_id::table, 1);
    CHECK(*scheduler.due(conditions(0)) <= time_point(100s));
    auto previous = time_point(100s);
    for (std::size_t rank = readers_per_domain; rank < readers_per_domain + standbys_per_domain;
         ++rank) {
        CHECK(*scheduler.due(conditions(rank)) > previous);
        previous = *scheduler.due(conditions(rank));
    }
    CHECK(*scheduler.due(conditions(50)) == time_point(160s));
}

TEST_CASE("7,300 nodes that start or lose contact at once stay below the share of off-duty nodes") {
    constexpr std::size_t nodes = 7300;
    constexpr std::size_t width = 40;
    std::vector<std::size_t> first(width);
    std::vector<std::size_t> retried(2 * width);
    for (std::size_t i = 0; i < nodes; ++i) {
        platform_read_scheduler scheduler(document_id::table, i);
        scheduler.start(time_point(0s), nodes);
        const read_conditions no_document{revision{}, time_point(0s), 50, nodes, true};
        ++first.at(
            static_cast<std::size_t>(to_seconds(scheduler.due(no_document)->time_since_epoch())));
        scheduler.start_read(time_point(0s), no_document);
        scheduler.on_failure(time_point(0s), no_document);
        ++retried.at(
            static_cast<std::size_t>(to_seconds(scheduler.due(no_document)->time_since_epoch())));
    }
    // The other document takes half of the share; 25 % is a margin for seconds above the mean.
    const auto max_reads =
        static_cast<std::size_t>(platform_calls_per_second * off_duty_share / 2 * 1.25);
    CHECK(*std::max_element(first.begin(), first.end()) <= max_reads);
    CHECK(*std::max_element(retried.begin(), retried.end()) <= max_reads);
}

TEST_CASE("reads skip a refused text, and read it again after growing delays") {
    platform_read_scheduler scheduler(document_id::table, 1);
    const auto reader = conditions(0);
    const refused_text refused_version{revision{9}, 77};
    scheduler.on_answer(time_point(100s));
    scheduler.on_refused(time_point(100s), refused_version);
    CHECK(scheduler.start_read(time_point(101s), reader).after == revision{9});
    scheduler.on_answer(time_point(104s));
    CHECK(scheduler.start_read(time_point(104s), reader).after == revision{5});
    scheduler.on_answer(time_point(104s));
    scheduler.on_refused(time_point(104s), refused_version);
    CHECK(scheduler.start_read(time_point(109s), reader).after == revision{9});
    scheduler.on_answer(time_point(112s));
    CHECK(scheduler.start_read(time_point(112s), reader).after == revision{5});
}
