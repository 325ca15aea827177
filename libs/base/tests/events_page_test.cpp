#include <doctest/doctest.h>

#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

#include <fmt/format.h>

#include <trefoil/base/log.hpp>

using namespace trefoil;

namespace {

std::set<std::string> documented_events() {
    std::ifstream in(EVENTS_PAGE);
    const std::string text{std::istreambuf_iterator<char>(in), {}};
    const std::regex row(R"(\| (\d{4}) \| ([a-z_]+) \|)");
    std::set<std::string> rows;
    for (std::sregex_iterator at(text.begin(), text.end(), row), end; at != end; ++at) {
        rows.insert((*at)[1].str() + " " + (*at)[2].str());
    }
    return rows;
}

} // namespace

TEST_CASE("the documented events are those defined in the code") {
    std::set<std::string> defined_events;
    for (const auto event : all_log_events()) {
        defined_events.insert(fmt::format("{} {}", static_cast<int>(event), name_of(event)));
    }
    CHECK(documented_events() == defined_events);
}

TEST_CASE("values with blanks or control characters are quoted") {
    const log_record record{log_event::node_started, {{"a", "b c"}, {"d", "e\nf"}, {"g", ""}}};
    CHECK(format_record(record) == "1001 node_started a=\"b c\" d=\"e\\x0af\" g=\"\"");
}
