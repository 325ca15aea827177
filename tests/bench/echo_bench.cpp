// Measures round trips on one event loop: an HTTP exchange with h2o, and two control messages over
// gRPC, one in each direction.
#include <algorithm>
#include <csignal>
#include <vector>

#include <fmt/format.h>
#include <uv.h>

#include <trefoil/control/control_channel.hpp>
#include <trefoil/http/http_client.hpp>
#include <trefoil/http/http_server.hpp>
#include <trefoil/settings/tool_main.hpp>

using namespace trefoil;

namespace {

struct bench_options {
    std::uint64_t rounds = 5000;
    std::uint64_t first_port = 23000;
};

template <class Condition>
void run_until(uv_loop_t* loop, Condition done) {
    while (!done()) {
        uv_run(loop, UV_RUN_ONCE);
    }
}

double processor_ms() {
    uv_rusage_t usage;
    uv_getrusage(&usage);
    const auto ms = [](const uv_timeval_t& time) {
        return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_usec) / 1e3;
    };
    return ms(usage.ru_utime) + ms(usage.ru_stime);
}

// Runs the rounds sequentially and prints quantiles of their duration in milliseconds.
template <class Round>
void measure(const char* name, std::uint64_t rounds, Round round) {
    std::vector<double> times;
    const double processor = processor_ms();
    for (std::uint64_t i = 0; i < rounds; ++i) {
        const auto begin = uv_hrtime();
        round();
        times.push_back(static_cast<double>(uv_hrtime() - begin) / 1e6);
    }
    const double spent = processor_ms() - processor;
    std::sort(times.begin(), times.end());
    fmt::print("{} rounds={} p50_ms={:.3f} p99_ms={:.3f} processor_ms={:.3f}\n", name, rounds,
               times[rounds / 2], times[rounds * 99 / 100], spent / static_cast<double>(rounds));
}

int run(const bench_options& options) {
    auto* loop = uv_default_loop();
    const auto at = [&](std::uint64_t offset) {
        return endpoint{"127.0.0.1", static_cast<std::uint16_t>(options.first_port + offset)};
    };
    http_server* server = nullptr;
    auto listening = http_server::listen(
        loop, at(0), {},
        [&](exchange_id id, const http_request& request) {
            server->respond(id, {200, {}, request.body});
        },
        [](exchange_id) {});
    std::uint64_t received = 0;
    std::unique_ptr<control_channel> far;
    const auto ignore_error = [](const absl::Status&) {};
    auto near = control_channel::listen(
        loop, at(1), instance_id("near"),
        [&](const instance_id&, const control_message&) { ++received; }, ignore_error);
    auto opened = control_channel::listen(
        loop, at(2), instance_id("far"),
        [&](const instance_id&, const control_message& message) { far->send(at(1), message); },
        ignore_error);
    if (!listening.ok() || !near.ok() || !opened.ok()) {
        fmt::print(stderr, "one of the three ports from {} is in use\n", options.first_port);
        return 1;
    }
    server = listening->get();
    far = *std::move(opened);
    http_client client(loop);
    measure("http", options.rounds, [&] {
        bool is_done = false;
        client.send(at(0), {"GET", "/", service_name("echo"), {}, "x", "", ""}, {},
                    [&](const exchange_result&) { is_done = true; });
        run_until(loop, [&] { return is_done; });
    });
    document_digest message;
    message.held_revision = {1};
    measure("grpc", options.rounds, [&] {
        const auto before = received;
        (*near)->send(at(2), message);
        run_until(loop, [&] { return received > before; });
    });
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    bench_options bench;
    option_set options("echo-bench", "measures round trips by HTTP and by gRPC on one event loop");
    options.add_count("rounds", &bench.rounds, 100, 1'000'000, "rounds",
                      "round trips of each kind");
    options.add_count("first-port", &bench.first_port, 1024, 65000, "port",
                      "first of three ports on loopback");
    return tool_main(options, argc, argv, [&](const run_program&) { return run(bench); });
}
