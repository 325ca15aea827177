#include <doctest/doctest.h>

#include <trefoil/table/table.hpp>

using namespace trefoil;

namespace {

const std::string header = "kind,service,method,path,priority,weight,deadline_ms,retries,"
                           "max_in_flight,once,max_bytes,slo_percent\n";
const std::string default_row = "default,*,*,*,9,1,1000,1,100,no,65536,99\n";

table accepted(const std::string& text) {
    auto result = parse_table(text);
    REQUIRE(std::holds_alternative<table>(result));
    return std::get<table>(result);
}

table_errors refused(const std::string& text) {
    auto result = parse_table(text);
    REQUIRE(std::holds_alternative<table_errors>(result));
    return std::get<table_errors>(result);
}

} // namespace

TEST_CASE("the first matching row applies, and default matches last at any position") {
    const auto rows = accepted(header + default_row +
                               "history,history,GET,/patients/*/history,1,5,500,2,50,no,65536,99\n"
                               "export,*,POST,/export/**,8,1,5000,0,5,no,1000000,90\n");
    CHECK(rows.match(service_name("history"), "GET", "/patients/7/history?x=1").kind == "history");
    CHECK(rows.match(service_name("history"), "GET", "/patients/7/8/history").kind == "default");
    CHECK(rows.match(service_name("history"), "PUT", "/patients/7/history").kind == "default");
    CHECK(rows.match(service_name("any"), "POST", "/export/a/b").kind == "export");
    CHECK(rows.match(service_name("any"), "POST", "/export").kind == "export");
    CHECK(rows.match(service_name("any"), "POST", "/exports").kind == "default");
}

TEST_CASE("a table as spreadsheets save it is accepted") {
    std::string text = "\xEF\xBB\xBF" + header + "\"default\",*,*,*, 9 ,1.5,1000,1,100,no,1,99\r\n";
    CHECK(accepted(text).rows().front().weight == doctest::Approx(1.5));
    std::replace(text.begin(), text.end(), ',', ';');
    CHECK(accepted(text).rows().front().priority == 9);
}

TEST_CASE("every error is reported with line, column, value and accepted values") {
    const auto errors = refused(header + default_row + "a b,*,*,x,10,-1,0,x,100,maybe,65536,101\n" +
                                default_row + "short,line\n");
    const std::vector<std::string> columns = {"kind",        "path",    "priority", "weight",
                                              "deadline_ms", "retries", "once",     "slo_percent"};
    REQUIRE(errors.size() == columns.size() + 2);
    for (std::size_t i = 0; i < columns.size(); ++i) {
        CHECK(errors[i].line == 3);
        CHECK(errors[i].column == columns[i]);
        CHECK_FALSE(errors[i].allowed.empty());
    }
    CHECK(errors[8].line == 4);
    CHECK(errors[9].line == 5);
    CHECK(to_string(errors[2]).find("line 3, column priority: '10': allowed is a whole number") ==
          0);
}

TEST_CASE("a table without default, without text or too large is refused") {
    CHECK(refused(header).front().column == "kind");
    CHECK(refused("").size() == 1);
    CHECK(refused("nonsense").front().line == 1);
    CHECK(refused(header + default_row + std::string(max_table_bytes, '\n')).size() >= 1);
}

TEST_CASE("the first matching row applies, whichever of its cells are wildcards") {
    const auto rows =
        accepted(header + "a,*,*,/x/**,1,1,500,0,5,no,1,99\n" + "b,s,*,/x/y,1,1,500,0,5,no,1,99\n" +
                 "c,s,GET,*,1,1,500,0,5,no,1,99\n" + "d,s,*,/*/z,1,1,500,0,5,no,1,99\n" +
                 "e,*,PUT,*,1,1,500,0,5,no,1,99\n" + default_row);
    CHECK(rows.match(service_name("s"), "GET", "/x/y").kind == "a");
    CHECK(rows.match(service_name("s"), "GET", "/y/z").kind == "c");
    CHECK(rows.match(service_name("s"), "PUT", "/y/z").kind == "d");
    CHECK(rows.match(service_name("t"), "PUT", "/y/z").kind == "e");
    CHECK(rows.match(service_name("t"), "POST", "/y/z").kind == "default");
    CHECK(rows.find("d")->path == "/*/z");
    CHECK(rows.find("none") == nullptr);
}
