#include <doctest/doctest.h>

#include <trefoil/membership/leaving_news.hpp>

using namespace trefoil;

TEST_CASE("an announcement is new once per incarnation and expires") {
    leaving_news announcements;
    const instance_id instance("i1");
    CHECK(announcements.hear(time_point(1s), instance, {7}));
    CHECK_FALSE(announcements.hear(time_point(2s), instance, {7}));
    CHECK(announcements.hear(time_point(3s), instance, {8}));
    CHECK(announcements.expire(time_point(32s)).empty());
    CHECK(announcements.expire(time_point(33s)) == std::vector<instance_id>{instance});
    CHECK(announcements.size() == 0);
}

TEST_CASE("announcements of two incarnations that cross are each new only once") {
    leaving_news announcements;
    const instance_id instance("i1");
    CHECK(announcements.hear(time_point(1s), instance, {7}));
    CHECK(announcements.hear(time_point(1s), instance, {8}));
    CHECK_FALSE(announcements.hear(time_point(2s), instance, {7}));
    CHECK_FALSE(announcements.hear(time_point(2s), instance, {8}));
}

TEST_CASE("an instance is announced until the last announcement of its incarnations expires") {
    leaving_news announcements;
    const instance_id instance("i1");
    announcements.hear(time_point(1s), instance, {7});
    announcements.hear(time_point(3s), instance, {8});
    CHECK(announcements.expire(time_point(31s)).empty());
    CHECK(announcements.expire(time_point(33s)) == std::vector<instance_id>{instance});
    CHECK(announcements.size() == 0);
}
