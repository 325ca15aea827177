// A target as the emulator runs it: slots, work, calls of its own.
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

/// What a service does for one kind of path.
struct service_work {
    /// Mean of the time that a slot computes, exponentially distributed around half of it.
    duration compute{1000};
    /// Calls to other services, made after the computation.
    std::vector<child_call> children;
    /// True if the calls are made at once instead of one after the other.
    bool in_parallel = false;

    friend bool operator==(const service_work&, const service_work&) = default;
};

/// How a target behaves.
struct target_settings {
    std::uint32_t slots = 10;
    /// Requests it holds beyond its slots before it sheds with status 503, declared as not run.
    std::uint32_t backlog = 100;
    /// Factor on every computation; above 1 it is slow.
    double slowness = 1.0;
    /// Computations take twice as long for this time after a start.
    duration cold_time{0};
    /// Times that the target's own library repeats a failed child call.
    std::uint32_t app_retries = 0;
    /// A cancelled request ends at once and frees its slot; without it it goes on to its end.
    bool accepts_cancel = false;
    /// Time from a crash until it accepts requests again.
    duration restart_time = 500ms;
};

/// Serves attempts. Every request holds a slot from its start to its answer, child calls included.
class fake_target {
public:
    /// The target's own outgoing call: the answer's status, or 0 if it was refused.
    using call_done = std::function<void(int status, const answer_info& info, const std::string&)>;
    /// Sends a child call out by the node beside the target.
    using call_out = std::function<void(request_ptr, const call_context&, call_done)>;
    /// Tells how an attempt ended: an answer, or nothing if the target crashed.
    using attempt_done = std::function<void(attempt_id, answer_ptr)>;
    /// What a service does for a path.
    using work_of = std::function<service_work(const service_name&, const std::string& path)>;
    /// Told of every start of work on a request.
    using run_observer = std::function<void(const http_request&, const call_context&)>;
    /// Told of every end of work on a request, with the time for which it held a slot.
    using work_observer = std::function<void(const http_request&, duration)>;

    fake_target(scheduler& clock, service_name service, target_settings settings,
                std::uint64_t seed);

    void set_hooks(call_out out, attempt_done done, work_of work, run_observer observer);
    void observe_work(work_observer observer) { work_observer_ = std::move(observer); }
    void set_slowness(double factor) { settings_.slowness = factor; }
    void set_app_retries(std::uint32_t retries) { settings_.app_retries = retries; }

    /// Takes a request over. A request whose path holds "crash" ends the target's process.
    void serve(attempt_id attempt, request_ptr request, const call_context& context);
    /// The node closed the connection: nobody hears of the request any more.
    void cancel(attempt_id attempt);
    /// Ends the process: every request in it is lost.
    void crash();
    void start();
    bool is_up() const { return is_up_; }

    /// Slot time spent so far, child calls included.
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
        std::size_t open_children = 0;
        std::string body;
        bool failed = false;
        bool is_cancelled = false;
        bool has_ended = false;
    };
    using job_ptr = std::shared_ptr<job>;

    void begin(const job_ptr& work);
    void make_children(const job_ptr& work);
    void make_child(const job_ptr& work, std::size_t index, std::uint32_t tries_left);
    void child_done(const job_ptr& work, int status, const std::string& body);
    void finish(const job_ptr& work);
    void leave_slot(const job_ptr& work);
    void account(const job& work);
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
    std::uint64_t process_ = 0;
    bool is_up_ = true;
    time_point started_at_;
    duration busy_time_{0};
};

} // namespace trefoil
