#include <doctest/doctest.h>

#include <trefoil/membership/leaving_news.hpp>

using namespace trefoil;

TEST_CASE("an announcement is news once a run and ends by itself") {
    leaving_news news;
    const instance_id one("i1");
    CHECK(news.hear(time_point(1s), one, {7}));
    CHECK_FALSE(news.hear(time_point(2s), one, {7}));
    CHECK(news.hear(time_point(3s), one, {8}));
    CHECK(news.expire(time_point(32s)).empty());
    CHECK(news.expire(time_point(33s)) == std::vector<instance_id>{one});
    CHECK(news.size() == 0);
}

TEST_CASE("announcements of two runs that cross are each news only once") {
    leaving_news news;
    const instance_id one("i1");
    CHECK(news.hear(time_point(1s), one, {7}));
    CHECK(news.hear(time_point(1s), one, {8}));
    CHECK_FALSE(news.hear(time_point(2s), one, {7}));
    CHECK_FALSE(news.hear(time_point(2s), one, {8}));
}

TEST_CASE("an instance is announced until the last announcement of its runs ends") {
    leaving_news news;
    const instance_id one("i1");
    news.hear(time_point(1s), one, {7});
    news.hear(time_point(3s), one, {8});
    CHECK(news.expire(time_point(31s)).empty());
    CHECK(news.expire(time_point(33s)) == std::vector<instance_id>{one});
    CHECK(news.size() == 0);
}
