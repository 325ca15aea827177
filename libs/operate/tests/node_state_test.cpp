#include <doctest/doctest.h>

#include <fmt/format.h>

#include <trefoil/base/error.hpp>
#include <trefoil/operate/node_state.hpp>

using namespace trefoil;

namespace {

std::string page(const std::string& instance, int table, const std::string& hash) {
    return fmt::format(
        R"({{"instance":"{}","domain":"d1","table":{{"revision":{},"hash":"{}","in_force_s":5.0,)"
        R"("confirmed_s":1.0,"source":"platform","heard":{}}},"instances":{{"revision":3,)"
        R"("hash":"x","in_force_s":9.0,"confirmed_s":1.0,"source":"n2","heard":3}}}})",
        instance, table, hash, table);
}

bool has(const command_result& result, std::string_view text) {
    return result.text.find(text) != std::string::npos;
}

} // namespace

TEST_CASE("nodes that hold the same documents compare as equal") {
    const auto result = compare_nodes(
        {{"a", read_node_state(page("n1", 7, "h"))}, {"b", read_node_state(page("n2", 7, "h"))}});
    CHECK(result.exit_code == exit_success);
    CHECK(has(result, "n1 (d1) table: revision 7 for 5 s from platform, confirmed 1 s ago, 0 "
                      "behind\n"));
}

TEST_CASE("nodes that are behind, differ or do not respond are reported") {
    const auto late = compare_nodes(
        {{"a", read_node_state(page("n1", 7, "h"))}, {"b", read_node_state(page("n2", 5, "g"))}});
    CHECK(late.exit_code == exit_findings);
    CHECK(
        has(late, "n2 (d1) table: revision 5 for 5 s from platform, confirmed 1 s ago, 2 behind"));
    const auto other = compare_nodes(
        {{"a", read_node_state(page("n1", 7, "h"))}, {"b", read_node_state(page("n2", 7, "g"))}});
    CHECK(other.exit_code == exit_findings);
    CHECK(has(other, "differs"));
    const auto silent = compare_nodes({{"a", absl::UnavailableError("no answer")}});
    CHECK(silent.exit_code == exit_findings);
    CHECK(has(silent, "a: no state: no answer"));
}

TEST_CASE("an invalid status page gives a typed error") {
    CHECK(is_failure(read_node_state("x").status(), node_state_error::no_json));
    CHECK(is_failure(read_node_state("{}").status(), node_state_error::field_missing));
}
