// Simulated target with a fixed number of slots, a backlog and child calls.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <trefoil/base/random.hpp>
#include <trefoil/core/events.hpp>
#include <trefoil/emulator/scheduler.hpp>

namespace trefoil {

/// One call that a target makes while it works on a request.
struct child_call {
    service_name service;
    std::string method = "GET";
    std::string path;

    friend bool operator==(const child_call&, const child_call&) = default;
};

/// Work that a service does for a request path.
struct service_work {
    /// Mean computation time. One half is fixed, the other half is exponentially distributed.
    duration compute{1000};
    /// Calls to other services, made after the computation.
    std::vector<child_call> children;
    /// If true, all calls start at the same time; otherwise each waits for the one before it.
    bool in_parallel = false;

    friend bool operator==(const service_work&, const service_work&) = default;
};

/// Capacity and failure behaviour of a simulated target.
struct target_settings {
    /// Requests that the target processes concurrently.
    std::uint32_t slots = 10;
    /// Requests that wait for a slot. Beyond this number, the target sheds requests with status 503
    /// and outcome not_run.
    std::uint32_t backlog = 100;
    /// Multiplier on every computation time; values above 1 slow the target down.
    double slowness = 1.0;
    /// Warm-up period after a start, during which computations take twice as long.
    duration cold_time{0};
    /// Retries that the application's own client library makes for a failed child call.
    std::uint32_t app_retries = 0;
    /// If true, cancelling a request stops it and frees its slot immediately. Otherwise the request
    /// runs to completion and its response is discarded.
    bool accepts_cancel = false;
    /// Time from a crash until the target accepts requests again.
    duration restart_time = 500ms;
};

/// Simulates the target of a node. A request occupies a slot from its start until its response,
/// including the time it waits for child calls.
class fake_target {
public:
    /// Receives the result of a child call. The status is 0 if the node was not running or the
    /// connection was lost.
    using call_done = std::function<void(int status, const answer_info& info, const std::string&)>;
    /// Sends a child call through the node beside the target.
    using call_out = std::function<void(request_ptr, const call_context&, call_done)>;
    /// Receives the response of an attempt, or null if the target crashed.
    using attempt_done = std::function<void(attempt_id, answer_ptr)>;
    /// Returns the work of a service for a path.
    using work_of = std::function<service_work(const service_name&, const std::string& path)>;
    /// Called when the target starts work on a request.
    using run_observer = std::function<void(const http_request&, const call_context&)>;
    /// Called when work on a request ends, with the time for which it occupied a slot.
    using work_observer = std::function<void(const http_request&, duration)>;

    fake_target(scheduler& clock, service_name service, target_settings settings,
                std::uint64_t seed);

    void set_hooks(call_out out, attempt_done done, work_of work, run_observer observer);
    void observe_work(work_observer observer) { work_observer_ = std::move(observer); }
    void set_slowness(double factor) { settings_.slowness = factor; }
    void set_app_retries(std::uint32_t retries) { settings_.app_retries = retries; }

    /// Starts or queues a request, or sheds it if the backlog is full. A request whose path
    /// contains "crash" crashes the target 1 ms after work on it starts.
    void serve(attempt_id attempt, request_ptr request, const call_context& context);
    /// Handles the node closing the attempt's connection. A queued request is dropped; for a
    /// running one see target_settings::accepts_cancel.
    void cancel(attempt_id attempt);
    /// Simulates a crash of the process: all running and queued attempts fail, and the target
    /// starts again after target_settings::restart_time.
    void crash();
    /// Marks the target as up and begins its warm-up period.
    void start();
    bool is_up() const { return is_up_; }

    /// Total slot time of ended requests, including the time spent waiting for child calls.
    duration busy_time() const { return busy_time_; }
    std::size_t in_flight() const { return running_.size(); }

private:
    struct job {
        attempt_id attempt;
        request_ptr request;
        call_context context;
        service_work work;
        time_point started;
        std::size_t next_child = 0;
        std::size_t pending_children = 0;
        std::string body;
        bool failed = false;
        bool is_cancelled = false;
        bool has_ended = false;
    };
    using job_ptr = std::shared_ptr<job>;

    void begin(const job_ptr& work);
    void start_child_calls(const job_ptr& work);
    void send_child_call(const job_ptr& work, std::size_t index, std::uint32_t retries_left);
    void complete_child_call(const job_ptr& work, int status, const std::string& body);
    void finish(const job_ptr& work);
    void release_slot(const job_ptr& work);
    void record_busy_time(const job& work);
    duration compute_time(const service_work& work);

    scheduler& clock_;
    service_name service_;
    target_settings settings_;
    random_source random_;
    call_out call_out_;
    attempt_done done_;
    work_of work_of_;
    run_observer observer_;
    work_observer work_observer_;
    std::unordered_map<attempt_id, job_ptr> running_;
    std::deque<job_ptr> backlog_;
    // Incremented on each crash, so that tasks scheduled before it are ignored.
    std::uint64_t incarnation_ = 0;
    bool is_up_ = true;
    time_point started_at_;
    duration busy_time_{0};
};

} // namespace trefoil
