#include <trefoil/emulator/fake_target.hpp>

#include <cmath>

namespace trefoil {
namespace {

constexpr int ok_status = 200;
constexpr int shed_status = 503;
constexpr int child_failed_status = 502;
constexpr double cold_start_factor = 2.0;

answer_ptr make_answer(int status, std::string body) {
    return std::make_shared<const http_answer>(http_answer{status, {}, std::move(body)});
}

} // namespace

fake_target::fake_target(scheduler& clock, service_name service, target_settings settings,
                         std::uint64_t seed)
    : clock_(clock), service_(std::move(service)), settings_(settings), random_(seed) {}

void fake_target::set_hooks(call_out out, attempt_done done, work_of work, run_observer observer) {
    call_out_ = std::move(out);
    done_ = std::move(done);
    work_of_ = std::move(work);
    observer_ = std::move(observer);
}

void fake_target::serve(attempt_id attempt, request_ptr request, const call_context& context) {
    auto work = std::make_shared<job>();
    work->attempt = attempt;
    work->work = work_of_(service_, request->path);
    work->request = std::move(request);
    work->context = context;
    if (running_.size() < settings_.slots) {
        begin(work);
    } else if (backlog_.size() < settings_.backlog) {
        backlog_.push_back(work);
    } else {
        done_(attempt, std::make_shared<const http_answer>(
                           http_answer{shed_status, {{"trefoil-outcome", "not_run"}}, ""}));
    }
}

void fake_target::begin(const job_ptr& work) {
    work->started = clock_.now();
    running_.emplace(work->attempt, work);
    observer_(*work->request, work->context);
    if (work->request->path.find("crash") != std::string::npos) {
        clock_.after(1ms, [this, incarnation = incarnation_] {
            if (incarnation == incarnation_) {
                crash();
            }
        });
        return;
    }
    clock_.after(compute_time(work->work), [this, work, incarnation = incarnation_] {
        if (incarnation == incarnation_ && !work->has_ended) {
            start_child_calls(work);
        }
    });
}

duration fake_target::compute_time(const service_work& work) {
    const double mean = static_cast<double>(work.compute.count());
    const double drawn = mean / 2 - mean / 2 * std::log(1.0 - random_.unit());
    const bool is_cold = clock_.now() - started_at_ < settings_.cold_time;
    const double factor = settings_.slowness * (is_cold ? cold_start_factor : 1.0);
    return duration(static_cast<duration::rep>(drawn * factor));
}

void fake_target::start_child_calls(const job_ptr& work) {
    if (work->next_child == work->work.children.size()) {
        finish(work);
        return;
    }
    if (!work->work.in_parallel) {
        work->pending_children = 1;
        send_child_call(work, work->next_child++, settings_.app_retries);
        return;
    }
    work->pending_children = work->work.children.size();
    work->next_child = work->pending_children;
    for (std::size_t i = 0; i < work->work.children.size(); ++i) {
        send_child_call(work, i, settings_.app_retries);
    }
}

void fake_target::send_child_call(const job_ptr& work, std::size_t index,
                                  std::uint32_t retries_left) {
    const auto& child = work->work.children[index];
    http_request request;
    request.method = child.method;
    request.path = child.path;
    request.service = child.service;
    request.body = work->request->body;
    call_out_(std::make_shared<const http_request>(std::move(request)), work->context,
              [this, work, index, retries_left, incarnation = incarnation_](
                  int status, const answer_info&, const std::string& body) {
                  if (incarnation != incarnation_ || work->has_ended) {
                      return;
                  }
                  if (status != ok_status && retries_left > 0) {
                      send_child_call(work, index, retries_left - 1);
                  } else {
                      complete_child_call(work, status, body);
                  }
              });
}

void fake_target::complete_child_call(const job_ptr& work, int status, const std::string& body) {
    work->failed = work->failed || status != ok_status;
    work->body += body;
    if (--work->pending_children > 0) {
        return;
    }
    if (work->failed) {
        finish(work);
    } else {
        start_child_calls(work);
    }
}

void fake_target::record_busy_time(const job& work) {
    const auto held = clock_.now() - work.started;
    busy_time_ += held;
    if (work_observer_) {
        work_observer_(*work.request, held);
    }
}

void fake_target::finish(const job_ptr& work) {
    if (!work->is_cancelled) {
        done_(work->attempt,
              work->failed ? make_answer(child_failed_status, "")
                           : make_answer(ok_status, "(" + service_.str() + " " +
                                                        work->request->body + work->body + ")"));
    }
    release_slot(work);
}

void fake_target::release_slot(const job_ptr& work) {
    record_busy_time(*work);
    work->has_ended = true;
    running_.erase(work->attempt);
    while (!backlog_.empty() && running_.size() < settings_.slots) {
        const auto next = backlog_.front();
        backlog_.pop_front();
        begin(next);
    }
}

void fake_target::cancel(attempt_id attempt) {
    const auto found = running_.find(attempt);
    if (found != running_.end()) {
        const auto work = found->second;
        work->is_cancelled = true;
        if (settings_.accepts_cancel) {
            release_slot(work);
        }
        return;
    }
    std::erase_if(backlog_, [&](const job_ptr& work) { return work->attempt == attempt; });
}

void fake_target::crash() {
    ++incarnation_;
    is_up_ = false;
    auto running = std::move(running_);
    running_.clear();
    auto waiting = std::move(backlog_);
    backlog_.clear();
    for (const auto& [attempt, work] : running) {
        record_busy_time(*work);
        done_(attempt, nullptr);
    }
    for (const auto& work : waiting) {
        done_(work->attempt, nullptr);
    }
    clock_.after(settings_.restart_time, [this, incarnation = incarnation_] {
        if (incarnation == incarnation_) {
            start();
        }
    });
}

void fake_target::start() {
    is_up_ = true;
    started_at_ = clock_.now();
}

} // namespace trefoil
