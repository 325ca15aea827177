#include <doctest/doctest.h>

#include <trefoil/membership/leaving_announcements.hpp>

using namespace trefoil;

TEST_CASE("an announcement is new once per incarnation and expires") {
    leaving_announcements announcements;
    const instance_id instance("i1");
    CHECK(announcements.record(time_point(1s), instance, {7}));
    CHECK_FALSE(announcements.record(time_point(2s), instance, {7}));
    CHECK(announcements.record(time_point(3s), instance, {8}));
    CHECK(announcements.expire(time_point(32s)).empty());
    CHECK(announcements.expire(time_point(33s)) == std::vector<instance_id>{instance});
    CHECK(announcements.size() == 0);
}

TEST_CASE("announcements of two incarnations that cross are each new only once") {
    leaving_announcements announcements;
    const instance_id instance("i1");
    CHECK(announcements.record(time_point(1s), instance, {7}));
    CHECK(announcements.record(time_point(1s), instance, {8}));
    CHECK_FALSE(announcements.record(time_point(2s), instance, {7}));
    CHECK_FALSE(announcements.record(time_point(2s), instance, {8}));
}

TEST_CASE("an instance is announced until the last announcement of its incarnations expires") {
    leaving_announcements announcements;
    const instance_id instance("i1");
    announcements.record(time_point(1s), instance, {7});
    announcements.record(time_point(3s), instance, {8});
    CHECK(announcements.expire(time_point(31s)).empty());
    CHECK(announcements.expire(time_point(33s)) == std::vector<instance_id>{instance});
    CHECK(announcements.size() == 0);
}
