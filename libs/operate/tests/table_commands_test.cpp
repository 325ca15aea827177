#include <doctest/doctest.h>

#include <trefoil/operate/table_commands.hpp>

using namespace trefoil;

namespace {

const std::string header = "kind,service,method,path,priority,weight,deadline_ms,retries,"
                           "max_in_flight,once,max_bytes,slo_percent\n";
const std::string read_row = "read,history,GET,/logs/*,1,5,800,2,100,no,65536,99.9\n";
const std::string export_row = "export,history,*,/logs/**,8,1,5000,0,10,no,65536,95\n";
const std::string default_row = "default,*,*,*,5,1,1000,1,100,no,65536,99\n";

bool has(const command_result& result, std::string_view text) {
    return result.text.find(text) != std::string::npos;
}

} // namespace

TEST_CASE("check names every error with line and column") {
    const auto good = check_table("t.csv", header + read_row + default_row);
    CHECK(good.exit_code == exit_success);
    const auto bad = check_table("t.csv", header + "read,history,GET,/x,11,5,0,2,1,no,1,99\n" +
                                              "b\n" + default_row);
    CHECK(bad.exit_code == exit_findings);
    CHECK(has(bad, "t.csv:2:5: priority: '11'"));
    CHECK(has(bad, "t.csv:2:7: deadline_ms: '0'"));
    CHECK(has(bad, "t.csv:3:1: 'b'"));
}

TEST_CASE("diff lists the changes of each kind") {
    const auto before = header + read_row + export_row + default_row;
    CHECK(diff_tables(before, before) == command_result{exit_success, ""});
    const auto after = header + "read,history,GET,/logs/*,2,5,800,3,100,no,65536,99.9\n" +
                       "book,plan,POST,/bookings,0,9,900,0,50,yes,65536,99.9\n" + default_row;
    const auto changes = diff_tables(before, after);
    CHECK(changes.exit_code == exit_findings);
    CHECK(has(changes, "kind 'read': priority 1 -> 2, retries 2 -> 3\n"));
    CHECK(has(changes, "kind 'book': new\n"));
    CHECK(has(changes, "kind 'export': removed"));
    CHECK_FALSE(has(changes, "kind 'default'"));
    const auto moved = diff_tables(before, header + export_row + read_row + default_row);
    CHECK(has(moved, "order of rows: the position of kind 'read' is now taken by kind 'export'"));
    CHECK(diff_tables(before, "x").exit_code == exit_failed);
}

TEST_CASE("explain names the row that applies, earlier rows that do not match and later rows") {
    const auto rules = header + read_row + export_row + default_row;
    const auto read = explain_call(rules, {service_name("history"), "GET", "/logs/7"});
    CHECK(has(read, "line 2, kind 'read', applies"));
    CHECK(has(read, "line 3, kind 'export', matches too"));
    const auto post = explain_call(rules, {service_name("history"), "POST", "/logs/7"});
    CHECK(has(post, "line 2, kind 'read', does not match: method POST is not GET"));
    CHECK(has(post, "line 3, kind 'export', applies"));
    const auto other = explain_call(rules, {service_name("plan"), "GET", "/logs/7"});
    CHECK(has(other, "no row matches: kind 'default' applies"));
    const auto every = explain_call(rules, {std::nullopt, "GET", "/logs/7"});
    CHECK(has(every, "service history:\nline 2"));
    CHECK(has(every, "service any-other-service:\nno row matches"));
    CHECK(explain_call("x", {std::nullopt, "GET", "/"}).exit_code == exit_failed);
}
