// A fake target: occupies a slot for a random time, calls other services through the node beside
// it, and responds with its name, the body of the request and the responses to its own calls.
#include <cmath>
#include <csignal>
#include <deque>
#include <unordered_map>

#include <fmt/format.h>
#include <uv.h>

#include <trefoil/base/log.hpp>
#include <trefoil/base/overloaded.hpp>
#include <trefoil/base/random.hpp>
#include <trefoil/http/http_client.hpp>
#include <trefoil/http/http_server.hpp>
#include <trefoil/http1/header_rules.hpp>
#include <trefoil/settings/tool_main.hpp>

using namespace trefoil;

namespace {

struct target_options {
    std::string name;
    std::optional<endpoint> listen;
    std::optional<endpoint> node;
    std::string calls;
    double work_ms = 1;
    std::uint64_t slots = 64;
    std::uint64_t repeats = 0;
};

struct downstream_call {
    std::string service;
    std::string path;
};

// Parses a list of the form `service:/path,service:/path`.
std::vector<downstream_call> parse_calls(std::string_view text) {
    std::vector<downstream_call> calls;
    while (!text.empty()) {
        const auto end = std::min(text.find(','), text.size());
        const auto one = text.substr(0, end);
        const auto colon = one.find(':');
        calls.push_back({std::string(one.substr(0, colon)), std::string(one.substr(colon + 1))});
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return calls;
}

class fake_target_process {
public:
    explicit fake_target_process(target_options options)
        : options_(std::move(options)), downstream_calls_(parse_calls(options_.calls)),
          client_(uv_default_loop()) {}

    int run() {
        auto opened = http_server::listen(
            uv_default_loop(), *options_.listen, {},
            [this](exchange_id id, http_request request) { on_request(id, std::move(request)); },
            [this](exchange_id id) { jobs_.erase(id); });
        if (!opened.ok()) {
            fmt::print(stderr, "{}\n", std::string(opened.status().message()));
            return 1;
        }
        server_ = *std::move(opened);
        return uv_run(uv_default_loop(), UV_RUN_DEFAULT);
    }

private:
    struct job {
        http_request request;
        std::size_t next_call = 0;
        std::uint64_t retries_left = 0;
        std::string body;
    };

    void on_request(exchange_id id, http_request request) {
        constexpr std::string_view slowness_path = "/_slowness/";
        if (request.path.starts_with(slowness_path)) {
            slowness_ = std::atof(request.path.c_str() + slowness_path.size());
            server_->respond(id, {200, {}, "ok\n"});
            return;
        }
        if (request.path == "/_runs") {
            server_->respond(id, {200, {}, fmt::format("{}\n", runs_)});
            return;
        }
        if (request.path == "/_counts") {
            std::string text;
            for (const auto& [body, count] : counts_) {
                text += fmt::format("{} {}\n", body, count);
            }
            server_->respond(id, {200, {}, std::move(text)});
            return;
        }
        jobs_.emplace(id, job{std::move(request), 0, options_.repeats, ""});
        waiting_.push_back(id);
        start_waiting();
    }

    void start_waiting() {
        while (!waiting_.empty() && busy_slots_ < options_.slots) {
            const auto id = waiting_.front();
            waiting_.pop_front();
            if (jobs_.contains(id)) {
                ++busy_slots_;
                start(id);
            }
        }
    }

    void start(exchange_id id) {
        ++runs_;
        ++counts_[jobs_.at(id).request.body];
        if (jobs_.at(id).request.path.find("crash") != std::string::npos) {
            std::abort();
        }
        const double work_time_ms = options_.work_ms * slowness_ * (0.5 + random_.unit());
        struct work_timer {
            uv_timer_t timer{};
            fake_target_process* owner = nullptr;
            exchange_id id = 0;
        };
        auto* made = new work_timer;
        made->owner = this;
        made->id = id;
        uv_timer_init(uv_default_loop(), &made->timer);
        made->timer.data = made;
        uv_timer_start(
            &made->timer,
            [](uv_timer_t* timer) {
                auto* ended = static_cast<work_timer*>(timer->data);
                ended->owner->next(ended->id);
                uv_close(reinterpret_cast<uv_handle_t*>(timer), [](uv_handle_t* handle) {
                    delete static_cast<work_timer*>(handle->data);
                });
            },
            static_cast<std::uint64_t>(std::lround(work_time_ms)), 0);
    }

    void next(exchange_id id) {
        const auto found = jobs_.find(id);
        if (found == jobs_.end()) {
            release();
            return;
        }
        auto& work = found->second;
        if (work.next_call == downstream_calls_.size()) {
            finish(id, 200, fmt::format("({} {}{})", options_.name, work.request.body, work.body));
            return;
        }
        const auto& call = downstream_calls_[work.next_call];
        http_request request;
        request.method = work.request.method;
        request.path = call.path;
        request.service = service_name(call.service);
        request.body = work.request.body;
        const auto baggage = find_header(work.request.headers, "baggage");
        if (!baggage.empty()) {
            request.headers.push_back({"baggage", std::string(baggage)});
        }
        client_.send(*options_.node, request, {},
                     [this, id](const exchange_result& result) { on_call_done(id, result); });
    }

    void on_call_done(exchange_id id, const exchange_result& result) {
        const auto found = jobs_.find(id);
        if (found == jobs_.end()) {
            release();
            return;
        }
        auto& work = found->second;
        const auto* answer = std::get_if<http_answer>(&result);
        constexpr int first_error = 400;
        if (answer != nullptr && answer->status < first_error) {
            work.body += answer->body;
            ++work.next_call;
            next(id);
        } else if (work.retries_left > 0) {
            --work.retries_left;
            next(id);
        } else {
            finish(id, 502, "a call failed\n");
        }
    }

    void finish(exchange_id id, int status, std::string body) {
        jobs_.erase(id);
        server_->respond(id, {status, {{"content-type", "text/plain"}}, std::move(body)});
        release();
    }

    void release() {
        --busy_slots_;
        start_waiting();
    }

    target_options options_;
    std::vector<downstream_call> downstream_calls_;
    http_client client_;
    std::unique_ptr<http_server> server_;
    std::unordered_map<exchange_id, job> jobs_;
    std::deque<exchange_id> waiting_;
    std::uint64_t busy_slots_ = 0;
    std::uint64_t runs_ = 0;
    /// Number of runs by request body.
    std::unordered_map<std::string, std::uint64_t> counts_;
    double slowness_ = 1;
    random_source random_{1};
};

} // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    target_options target;
    option_set options("fake-target", "fake target");
    options.add_text("name", &target.name, "service name in the responses", true);
    options.add_endpoint("listen", &target.listen, "listener for requests", true);
    options.add_endpoint("node", &target.node, "app listener of the node", true);
    options.add_text("calls", &target.calls,
                     "service:/path,... that the target calls for each request", false);
    options.add_number("work", &target.work_ms, 0, 60000, "ms",
                       "mean time of the work of a request");
    options.add_count("slots", &target.slots, 1, 100000, "requests",
                      "maximum number of requests processed at once");
    options.add_count("repeats", &target.repeats, 0, 10, "calls",
                      "maximum repeats of failed calls");
    return tool_main(options, argc, argv,
                     [&](const run_program&) { return fake_target_process(target).run(); });
}
