#include <trefoil/load/load_run.hpp>

#include <algorithm>
#include <charconv>
#include <memory>
#include <sstream>

#include <fmt/format.h>
#include <uv.h>

#include <trefoil/base/random.hpp>
#include <trefoil/http/http_client.hpp>
#include <trefoil/http1/header_rules.hpp>

namespace trefoil {
namespace {

constexpr std::size_t max_open_requests = 5000;
constexpr std::uint64_t tick_ms = 1;
constexpr duration window_length = 100ms;
constexpr double normal_completion_ratio = 0.9;
constexpr duration settle_time = 2s;
constexpr duration in_force_limit = 20s;
constexpr duration poll_interval = 20ms;
constexpr std::chrono::milliseconds late_answer_grace{2000};
constexpr int first_error_status = 400;
constexpr int key_required_status = 428;

time_point wall_now() {
    return time_point(duration(uv_hrtime() / 1000));
}

/// Number of requests sent within one window, and of those that completed.
struct window {
    std::uint64_t offered = 0;
    std::uint64_t completed = 0;
};

class load_runner {
public:
    load_runner(const load_plan& plan, const load_observer& observer)
        : plan_(plan), observer_(observer) {
        uv_loop_init(&loop_);
        uv_timer_init(&loop_, &ticker_);
        client_ = std::make_unique<http_client>(&loop_);
    }

    load_result run() {
        uv_timer_start(
            &ticker_, [](uv_timer_t*) {}, tick_ms, tick_ms);
        started_ = wall_now();
        for (const auto& phase : plan_.phases) {
            run_phase(phase);
        }
        run_until([&] { return open_ == 0; }, settle_time + 5s);
        collect_runs();
        finish();
        return std::move(result_);
    }

private:
    struct open_request {
        std::size_t kind = 0;
        std::string body;
        time_point sent;
        std::size_t window = 0;
        bool has_key = false;
    };

    template <class Condition>
    void run_until(Condition done, duration limit) {
        const auto end = wall_now() + limit;
        while (!done() && wall_now() < end) {
            uv_run(&loop_, UV_RUN_ONCE);
        }
    }

    void run_phase(const planned_phase& phase) {
        observer_.on_phase(phase);
        if (phase.name == "recovery") {
            recovery_begin_ = wall_now();
            recovery_end_ = recovery_begin_ + phase.length;
        }
        for (const auto& call : plan_.calls) {
            if (call.phase == phase.name) {
                make_call(call);
            }
        }
        const auto begin = wall_now();
        std::vector<std::uint64_t> sent(plan_.kinds.size(), 0);
        std::uint64_t offered = 0;
        while (wall_now() < begin + phase.length) {
            const double elapsed = to_seconds(wall_now() - begin);
            for (std::size_t i = 0; i < plan_.kinds.size(); ++i) {
                const auto due =
                    static_cast<std::uint64_t>(elapsed * plan_.kinds[i].rate * phase.factor);
                for (; sent[i] < due; ++sent[i], ++offered) {
                    offer(i);
                }
            }
            uv_run(&loop_, UV_RUN_ONCE);
            report_progress();
        }
        const double achievable = phase.capacity * to_seconds(phase.length);
        achievable_ += achievable > 0 ? std::min(achievable, static_cast<double>(offered))
                                      : static_cast<double>(offered);
    }

    void report_progress() {
        const auto second = static_cast<std::size_t>((wall_now() - started_) / 1s);
        if (second == reported_second_) {
            return;
        }
        reported_second_ = second;
        load_progress now;
        now.second = second;
        for (const auto& [kind, counts] : result_.kinds) {
            now.offered += counts.offered;
            now.completed += counts.completed;
            now.not_run += counts.not_run;
            now.failed += counts.failed + counts.unknown;
        }
        observer_.on_second({second, now.offered - last_.offered, now.completed - last_.completed,
                             now.not_run - last_.not_run, now.failed - last_.failed});
        last_ = now;
    }

    void make_call(const planned_call& call) {
        http_request request{
            call.method, call.path, service_name(to_string(call.to)), {}, call.body, "", ""};
        const bool publishes_table = call.path == "/v1/kv/table";
        if (publishes_table && table_published_ == time_point{}) {
            table_published_ = wall_now();
            for (const auto& admin : plan_.admins) {
                watch_table(admin, 0);
            }
        }
        client_->send(call.to, request, {}, [](const exchange_result&) {});
    }

    // Polls the status page of a node until the revision of its table exceeds the first one seen.
    void watch_table(const endpoint& admin, std::uint64_t first_seen) {
        http_request request{"GET", "/status", service_name("admin"), {}, "", "", ""};
        client_->send(admin, request, {}, [this, admin, first_seen](const exchange_result& r) {
            const auto* answer = std::get_if<http_answer>(&r);
            const auto revision = answer == nullptr ? 0 : table_revision(answer->body);
            if (first_seen != 0 && revision > first_seen) {
                ++nodes_in_force_;
                last_in_force_ = wall_now();
            } else if (wall_now() - table_published_ < in_force_limit) {
                poll_later(admin, first_seen != 0 ? first_seen : revision);
            }
        });
    }

    void poll_later(const endpoint& admin, std::uint64_t first_seen) {
        struct poll {
            uv_timer_t timer{};
            load_runner* owner = nullptr;
            endpoint admin;
            std::uint64_t first_seen = 0;
        };
        auto* made = new poll{{}, this, admin, first_seen};
        uv_timer_init(&loop_, &made->timer);
        made->timer.data = made;
        uv_timer_start(
            &made->timer,
            [](uv_timer_t* timer) {
                auto* due = static_cast<poll*>(timer->data);
                due->owner->watch_table(due->admin, due->first_seen);
                uv_close(reinterpret_cast<uv_handle_t*>(timer),
                         [](uv_handle_t* handle) { delete static_cast<poll*>(handle->data); });
            },
            static_cast<std::uint64_t>(poll_interval.count() / 1000), 0);
    }

    static std::uint64_t table_revision(const std::string& status) {
        constexpr std::string_view prefix = R"("table":{"revision":)";
        const auto at = status.find(prefix);
        std::uint64_t value = 0;
        if (at != std::string::npos) {
            const auto* begin = status.data() + at + prefix.size();
            std::from_chars(begin, status.data() + status.size(), value);
        }
        return value;
    }

    void offer(std::size_t kind) {
        auto& counts = result_.kinds[plan_.kinds[kind].kind];
        ++counts.offered;
        open_request request;
        request.kind = kind;
        request.body = fmt::format("r{}", ++last_body_);
        request.sent = wall_now();
        request.window = static_cast<std::size_t>((request.sent - started_) / window_length);
        if (windows_.size() <= request.window) {
            windows_.resize(request.window + 1);
        }
        ++windows_[request.window].offered;
        if (open_ >= max_open_requests) {
            ++counts.unknown;
            return;
        }
        ++open_;
        send(std::move(request), "");
    }

    void send(open_request request, const std::string& key) {
        const auto& kind = plan_.kinds[request.kind];
        http_request message{kind.method, kind.path, kind.service, {}, request.body, "", ""};
        if (!key.empty()) {
            message.headers.push_back({"idempotency-key", key});
        }
        exchange_limits limits;
        limits.timeout = whole_ms(kind.deadline) + late_answer_grace;
        const auto entry = choose_entry(kind.service);
        client_->send(entry, message, limits,
                      [this, request = std::move(request)](const exchange_result& result) {
                          on_request_done(request, result);
                      });
    }

    endpoint choose_entry(const service_name& service) {
        std::vector<const endpoint*> candidates;
        for (const auto& [name, where] : plan_.entries) {
            if (name == service) {
                candidates.push_back(&where);
            }
        }
        return candidates.empty() ? endpoint{} : *candidates[random_.below(candidates.size())];
    }

    void on_request_done(const open_request& request, const exchange_result& result) {
        const auto* answer = std::get_if<http_answer>(&result);
        const auto& kind = plan_.kinds[request.kind];
        if (answer != nullptr && answer->status == key_required_status && kind.keyed &&
            !request.has_key) {
            auto retry = request;
            retry.has_key = true;
            send(std::move(retry), std::string(find_header(answer->headers, "idempotency-key")));
            return;
        }
        --open_;
        auto& counts = result_.kinds[kind.kind];
        const auto elapsed = wall_now() - request.sent;
        const auto reported_outcome = answer == nullptr
                                          ? std::string_view()
                                          : find_header(answer->headers, "trefoil-outcome");
        if (answer != nullptr && answer->status < first_error_status) {
            record_answer(counts, request, *answer, elapsed, kind.deadline);
        } else if (reported_outcome == "not_run") {
            ++counts.not_run;
        } else if (reported_outcome == "completed") {
            ++counts.failed;
        } else {
            ++counts.unknown;
        }
    }

    void record_answer(kind_result& counts, const open_request& request, const http_answer& answer,
                       duration elapsed, duration deadline) {
        // Targets answer "(service body...)", which must contain the body of this request.
        const auto expected = fmt::format(" {}", request.body);
        const auto at = answer.body.find(expected);
        const bool is_match =
            at != std::string::npos && at + expected.size() < answer.body.size() &&
            !std::isdigit(static_cast<unsigned char>(answer.body[at + expected.size()]));
        if (!is_match) {
            ++result_.mismatched_answers;
            ++counts.unknown;
        } else if (elapsed > deadline) {
            ++counts.failed;
        } else {
            ++counts.completed;
            ++windows_[request.window].completed;
            counts.latency.record(elapsed);
        }
    }

    // Reads from each target the number of executions by request body.
    void collect_runs() {
        std::size_t waiting = plan_.targets.size();
        std::map<std::pair<service_name, std::string>, std::uint64_t> runs;
        for (const auto& [service, where] : plan_.targets) {
            http_request request{"GET", "/_counts", service, {}, "", "", ""};
            client_->send(where, request, {}, [&, name = service](const exchange_result& result) {
                --waiting;
                const auto* answer = std::get_if<http_answer>(&result);
                std::istringstream in(answer == nullptr ? "" : answer->body);
                std::string body;
                std::uint64_t count = 0;
                while (in >> body >> count) {
                    runs[{name, body}] += count;
                }
            });
        }
        run_until([&] { return waiting == 0; }, 5s);
        for (const auto& [key, count] : runs) {
            result_.retries_per_request_max =
                std::max(result_.retries_per_request_max, count > 0 ? count - 1 : 0);
        }
    }

    void finish() {
        std::uint64_t completed = 0;
        for (const auto& [kind, counts] : result_.kinds) {
            completed += counts.completed;
        }
        result_.goodput = achievable_ > 0 ? static_cast<double>(completed) / achievable_ : 0;
        result_.recovery_s = recovery_seconds();
        if (table_published_ != time_point{} && nodes_in_force_ == plan_.admins.size()) {
            result_.table_in_force_s = to_seconds(last_in_force_ - table_published_);
        }
    }

    double recovery_seconds() const {
        if (recovery_begin_ == time_point{}) {
            return 0;
        }
        const auto first = static_cast<std::size_t>((recovery_begin_ - started_) / window_length);
        const auto last = static_cast<std::size_t>((recovery_end_ - started_) / window_length);
        std::size_t normal_from = first;
        for (std::size_t i = first; i < std::min(last, windows_.size()); ++i) {
            const auto& w = windows_[i];
            if (static_cast<double>(w.completed) <
                normal_completion_ratio * static_cast<double>(w.offered)) {
                normal_from = i + 1;
            }
        }
        return static_cast<double>(normal_from - first) * to_seconds(window_length);
    }

    const load_plan& plan_;
    const load_observer& observer_;
    std::size_t reported_second_ = 0;
    load_progress last_;
    uv_loop_t loop_{};
    uv_timer_t ticker_{};
    std::unique_ptr<http_client> client_;
    random_source random_{1};
    time_point started_;
    time_point recovery_begin_;
    time_point recovery_end_;
    time_point table_published_;
    time_point last_in_force_;
    std::size_t nodes_in_force_ = 0;
    std::size_t open_ = 0;
    std::uint64_t last_body_ = 0;
    double achievable_ = 0;
    std::vector<window> windows_;
    load_result result_;
};

} // namespace

load_result run_load(const load_plan& plan, const load_observer& observer) {
    // Handles that are still closing refer to the runner until the process ends.
    auto* runner = new load_runner(plan, observer);
    return runner->run();
}

std::string to_text(const load_result& result) {
    std::string text =
        fmt::format("{:<22} {:>8} {:>9} {:>9} {:>8} {:>8} {:>9} {:>9}\n", "kind", "offered",
                    "completed", "not_run", "failed", "unknown", "p50_ms", "p99_ms");
    for (const auto& [kind, counts] : result.kinds) {
        text += fmt::format("{:<22} {:>8} {:>9} {:>9} {:>8} {:>8} {:>9.2f} {:>9.2f}\n", kind,
                            counts.offered, counts.completed, counts.not_run, counts.failed,
                            counts.unknown, to_ms(counts.latency.quantile(0.5)),
                            to_ms(counts.latency.quantile(0.99)));
    }
    text += fmt::format("goodput={:.2f} recovery_s={:.1f} retries_per_request_max={} "
                        "table_in_force_s={:.2f}\n",
                        result.goodput, result.recovery_s, result.retries_per_request_max,
                        result.table_in_force_s);
    return text;
}

} // namespace trefoil
