// Measures idempotency keys: wall-clock time to issue, verify and parse a key, and memory per
// idempotency record.
#include <chrono>

#include <malloc.h>

#include <fmt/format.h>

#include <trefoil/once/idempotency_key_issuer.hpp>
#include <trefoil/once/idempotency_records.hpp>

using namespace trefoil;

namespace {

constexpr int key_count = 100'000;
constexpr std::uint64_t record_count = 20'000;

template <class Work>
double microseconds_each(int times, Work work) {
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < times; ++i) {
        work(i);
    }
    const std::chrono::duration<double, std::micro> spent =
        std::chrono::steady_clock::now() - begin;
    return spent.count() / times;
}

void measure_keys(std::size_t body_bytes) {
    idempotency_key_issuer issuer(std::string(32, 's'), {"127.0.0.1", 7001}, {17});
    http_request request{"POST",
                         "/payments",
                         service_name("booking"),
                         {},
                         std::string(body_bytes, 'b'),
                         "",
                         "credentials-0123456789abcdef"};
    const double issue = microseconds_each(
        key_count, [&](int i) { issuer.issue(time_point(duration(i)), request); });
    const auto key = issuer.issue(time_point(5s), request);
    int valid = 0;
    const double verify =
        microseconds_each(key_count, [&](int) { valid += issuer.verify(key, request) ? 1 : 0; });
    const auto text = to_string(key);
    const double parse = microseconds_each(
        key_count, [&](int) { valid += parse_idempotency_key(text).has_value() ? 1 : 0; });
    fmt::print("body {:>6} B: issue {:.2f} us, verify {:.2f} us, parse {:.2f} us ({} valid)\n",
               body_bytes, issue, verify, parse, valid);
}

void measure_records() {
    idempotency_records<std::uint64_t> store({600s, record_count, 16'000'000});
    const auto before = mallinfo2().uordblks;
    answer_info info;
    info.result = outcome::completed;
    for (std::uint64_t key = 1; key <= record_count; ++key) {
        store.begin(key);
        store.complete(time_point(1s), key, {nullptr, info});
    }
    fmt::print("{} recorded requests: {} B each, without their answers\n", record_count,
               (mallinfo2().uordblks - before) / record_count);
}

} // namespace

int main() {
    for (const std::size_t bytes : {0, 1'000, 65'536}) {
        measure_keys(bytes);
    }
    measure_records();
    return 0;
}
