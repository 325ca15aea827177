#include <trefoil/load/latency_compare.hpp>

#include <algorithm>
#include <vector>

#include <fmt/format.h>
#include <uv.h>

#include <trefoil/http/http_client.hpp>

namespace trefoil {
namespace {

constexpr int first_error_status = 400;

double quantile(std::vector<double> values, double fraction) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto at = static_cast<std::size_t>(fraction * static_cast<double>(values.size()));
    return values[std::min(at, values.size() - 1)];
}

class latency_comparer {
public:
    explicit latency_comparer(const compare_plan& plan) : plan_(plan) {
        uv_loop_init(&loop_);
        client_ = std::make_unique<http_client>(&loop_);
        uv_timer_init(&loop_, &pacing_timer_);
    }

    compare_result run() {
        compare_result result;
        std::vector<double> direct;
        std::vector<double> through;
        std::vector<double> added;
        const double interval_ns = 1e9 / plan_.rate;
        const auto begin = uv_hrtime();
        for (std::uint64_t i = 0; i < plan_.pairs; ++i) {
            wait_until(begin + static_cast<std::uint64_t>(static_cast<double>(i) * interval_ns));
            const bool direct_first = i % 2 == 0;
            const double first = measure(direct_first ? plan_.direct : plan_.via_node, i);
            const double second = measure(direct_first ? plan_.via_node : plan_.direct, i);
            if (first < 0 || second < 0) {
                ++result.failed;
                continue;
            }
            direct.push_back(direct_first ? first : second);
            through.push_back(direct_first ? second : first);
            added.push_back(through.back() - direct.back());
        }
        result.pairs = added.size();
        result.direct_p50_ms = quantile(direct, 0.5);
        result.direct_p99_ms = quantile(direct, 0.99);
        result.through_p50_ms = quantile(through, 0.5);
        result.through_p99_ms = quantile(through, 0.99);
        result.added_p50_ms = quantile(added, 0.5);
        result.added_p99_ms = quantile(added, 0.99);
        return result;
    }

private:
    void wait_until(std::uint64_t when_ns) {
        const auto now = uv_hrtime();
        if (now >= when_ns) {
            return;
        }
        bool is_due = false;
        pacing_timer_.data = &is_due;
        uv_update_time(&loop_);
        uv_timer_start(
            &pacing_timer_, [](uv_timer_t* timer) { *static_cast<bool*>(timer->data) = true; },
            (when_ns - now) / 1'000'000, 0);
        while (!is_due) {
            uv_run(&loop_, UV_RUN_ONCE);
        }
    }

    // Returns the milliseconds until the complete response, or -1 if the request failed.
    double measure(const endpoint& where, std::uint64_t number) {
        const http_request request{
            "GET", "/compare", service_name(plan_.service), {}, fmt::format("c{}", number), "", ""};
        bool is_done = false;
        bool succeeded = false;
        const auto begin = uv_hrtime();
        client_->send(where, request, {}, [&](const exchange_result& result) {
            const auto* answer = std::get_if<http_answer>(&result);
            succeeded = answer != nullptr && answer->status < first_error_status;
            is_done = true;
        });
        while (!is_done) {
            uv_run(&loop_, UV_RUN_ONCE);
        }
        return succeeded ? static_cast<double>(uv_hrtime() - begin) / 1e6 : -1;
    }

    const compare_plan& plan_;
    uv_loop_t loop_{};
    uv_timer_t pacing_timer_{};
    std::unique_ptr<http_client> client_;
};

} // namespace

compare_result compare_latency(const compare_plan& plan) {
    // Handles refer to the latency_comparer until the process ends.
    auto* running_comparer = new latency_comparer(plan);
    return running_comparer->run();
}

std::string to_text(const compare_result& r) {
    return fmt::format("pairs={} failed={} direct_p50_ms={:.3f} direct_p99_ms={:.3f} "
                       "through_p50_ms={:.3f} through_p99_ms={:.3f} added_p50_ms={:.3f} "
                       "added_p99_ms={:.3f}\n",
                       r.pairs, r.failed, r.direct_p50_ms, r.direct_p99_ms, r.through_p50_ms,
                       r.through_p99_ms, r.added_p50_ms, r.added_p99_ms);
}

} // namespace trefoil
