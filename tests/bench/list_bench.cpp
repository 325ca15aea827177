// Measures the processor time of each step by which a node of a large fleet processes one change of
// a document, and the size of the headers on calls. Prints microseconds of processor time per step.
#include <ctime>
#include <functional>

#include <fmt/format.h>

#include <trefoil/documents/document_copy.hpp>
#include <trefoil/membership/membership.hpp>
#include <trefoil/table/table.hpp>
#include <trefoil/wire/codec.hpp>

#include "neighbours.hpp"
#include "reader_election.hpp"

using namespace trefoil;

namespace {

constexpr int members = 7300;
constexpr int services = 1100;
constexpr int domains = 8;
constexpr int iterations = 20;

std::string list_text(int changed) {
    std::string text = std::string(member_header) + "\n";
    for (int i = 0; i < members; ++i) {
        text += fmt::format("instance-{:05},service-{:04},domain-{},region-{},10.{}.{}.{}:8000,"
                            "10.{}.{}.{}:8001,{}\n",
                            i, i % services, i % domains, i % domains / 2, i / 65536, i / 256 % 256,
                            i % 256, i / 65536, i / 256 % 256, i % 256,
                            i == changed ? "leaving" : "live");
    }
    return text;
}

std::string table_text(int rows, int changed) {
    std::string text = "kind,service,method,path,priority,weight,deadline_ms,retries,"
                       "max_in_flight,once,max_bytes,slo_percent\n";
    for (int i = 0; i + 1 < rows; ++i) {
        text += fmt::format("kind-{},service-{:04},GET,/v1/things/{}/*,5,1,1000,2,{},no,65536,99\n",
                            i, i % services, i, i == changed ? 99 : 100);
    }
    return text + "default,*,*,*,5,1,5000,2,100,no,65536,99\n";
}

void measure(const std::string& name, const std::function<void()>& step) {
    const auto began = std::clock();
    for (int i = 0; i < iterations; ++i) {
        step();
    }
    fmt::print("{:<46} {:8.0f} us\n", name,
               static_cast<double>(std::clock() - began) * 1e6 / CLOCKS_PER_SEC / iterations);
}

void measure_list() {
    const auto text = list_text(-1);
    const auto newer = list_text(members / 2);
    const auto parsed = std::get<std::vector<member>>(parse_members(text));
    membership fleet;
    fleet.replace(parsed);
    neighbours near(instance_id("instance-00000"), domain_name("domain-0"));
    near.members_changed(fleet);
    reader_election election(instance_id("instance-00000"), domain_name("domain-0"));
    const auto copy = document_copy().with_text(text, {1});
    const auto next = copy.with_text(newer, {2});
    const auto delta = next.changes_since(document_id::instances, {1});
    fmt::print("list of {} members, {} bytes; delta of one change {} bytes, whole {} bytes\n",
               members, text.size(), encode_control(delta).size(),
               encode_control(next.changes_since(document_id::instances, {0})).size());
    measure("list: parse", [&] { static_cast<void>(parse_members(text)); });
    measure("list: membership replaced", [&] { fleet.replace(parsed); });
    measure("list: neighbours chosen", [&] { near.members_changed(fleet); });
    measure("list: readers ranked", [&] { election.members_changed(near.own_domain()); });
    measure("list: new version from a whole text",
            [&] { static_cast<void>(copy.with_text(newer, {2})); });
    measure("list: new version from a delta", [&] { static_cast<void>(copy.with_delta(delta)); });
    measure("list: changes since a revision",
            [&] { static_cast<void>(next.changes_since(document_id::instances, {1})); });
}

void measure_table(int rows) {
    const auto text = table_text(rows, -1);
    const auto copy = document_copy().with_text(text, {1});
    const auto next = copy.with_text(table_text(rows, rows / 2), {2});
    const auto delta = next.changes_since(document_id::table, {1});
    fmt::print("table of {} rows, {} bytes; delta of one change {} bytes\n", rows, text.size(),
               encode_control(delta).size());
    measure("table: parse", [&] { static_cast<void>(parse_table(text)); });
    measure("table: new version from a delta", [&] { static_cast<void>(copy.with_delta(delta)); });
    measure("table: changes since a revision",
            [&] { static_cast<void>(next.changes_since(document_id::table, {1})); });
}

void measure_headers() {
    call_context context;
    context.request = {~0ULL, ~0ULL};
    context.kind = "nurse-history-read";
    context.remaining = 800ms;
    context.retry_tokens = 2;
    context.depth = 3;
    context.parent_call = {123456};
    context.parent_incarnation = {~0ULL};
    answer_info plain;
    plain.incarnation = {~0ULL};
    answer_info loaded = plain;
    loaded.load = load_report{40, 3, 64};
    answer_info levels = loaded;
    for (int i = 0; i < 3; ++i) {
        levels.kind_thresholds.push_back({fmt::format("nurse-history-{}", i), 700'000});
    }
    fmt::print("context header {} bytes, answer {} bytes, with load {} bytes, with load and three "
               "levels {} bytes\n",
               encode_context(context).size(), encode_answer_info(plain).size(),
               encode_answer_info(loaded).size(), encode_answer_info(levels).size());
}

} // namespace

int main() {
    measure_list();
    for (const int rows : {100, 1000, 4000, 10'000}) {
        measure_table(rows);
    }
    measure_headers();
}
