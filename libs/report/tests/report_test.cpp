#include <doctest/doctest.h>

#include <fmt/format.h>

#include <trefoil/report/burn.hpp>

using namespace trefoil;

namespace {

table objectives() {
    table_row row;
    row.kind = "default";
    row.service = row.method = row.path = "*";
    row.slo_percent = 99;
    return table({row});
}

std::string page(const std::string& node, double at, double offered, double succeeded) {
    return fmt::format(
        "# scrape {} {}\n"
        "trefoil_offered_total{{place=\"edge\",kind=\"default\"}} {}\n"
        "trefoil_offered_total{{place=\"leg\",kind=\"default\"}} 9999\n"
        "trefoil_succeeded_total{{place=\"edge\",kind=\"default\"}} {}\n"
        "trefoil_refused_total{{place=\"edge\",kind=\"default\",reason=\"level\"}} 3\n"
        "trefoil_threshold 1280\n",
        node, at, offered, succeeded);
}

kind_burn burn_of(const std::string& text) {
    return make_report(parse_saved_scrapes(text), objectives()).kinds.front();
}

} // namespace

TEST_CASE("the burn rate is the error ratio divided by the allowed error ratio") {
    const auto burn = burn_of(page("a", 0, 100, 100) + page("a", 60, 1100, 1080) +
                              page("b", 0, 0, 0) + page("b", 60, 1000, 1000));
    CHECK(burn.total.offered == 2000);
    CHECK(*burn.rates[0].short_rate == doctest::Approx(1.0));
    CHECK(*burn.budget_left == doctest::Approx(0.0));
    CHECK_FALSE(burn.rates[0].alerts);
}

TEST_CASE("an alert requires a high burn rate in both windows") {
    const auto old_errors =
        burn_of(page("a", 0, 0, 0) + page("a", 3300, 1000, 0) + page("a", 3600, 2000, 1000));
    CHECK(*old_errors.rates[0].short_rate == doctest::Approx(0.0));
    CHECK_FALSE(old_errors.rates[0].alerts);
    const auto lasting =
        burn_of(page("a", 0, 0, 0) + page("a", 3300, 1000, 0) + page("a", 3600, 2000, 0));
    CHECK(lasting.rates[0].alerts);
}

TEST_CASE("a restarted node counts from zero, and a failed scrape is a gap") {
    const auto text = page("a", 0, 1000, 1000) + "# scrape a 30 failed\n" + page("a", 60, 50, 40);
    const auto report = make_report(parse_saved_scrapes(text), objectives());
    CHECK(report.kinds.front().total.offered == 50);
    CHECK(report.gaps.at("a") == 1);
    CHECK(report.raised_levels.at("a") == 1280);
    CHECK(report.refusals.at("default level") == 3);
    CHECK(to_text(report).find("gap a: 1 readings failed") != std::string::npos);
    CHECK(to_html(report).find("<svg") != std::string::npos);
}

TEST_CASE("there is no burn rate without requests, and pages without our metrics are ignored") {
    CHECK_FALSE(burn_of("").rates[0].short_rate.has_value());
    CHECK_FALSE(parse_scrape("up 1\n", "x", 0).has_value());
}
