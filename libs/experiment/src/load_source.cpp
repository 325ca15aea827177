#include "load_source.hpp"

#include <cmath>

#include <fmt/format.h>

namespace trefoil {
namespace {

constexpr int ok_status = 200;
/// Upper bound of the random delay before a caller sends a request again.
constexpr duration max_resend_delay = 100ms;

} // namespace

load_source::load_source(virtual_fleet& fleet, const site& where, load_settings settings)
    : fleet_(fleet), site_(where), settings_(settings), random_(settings.seed),
      nodes_(fleet.instances()) {
    for (const auto& kind : site_.kinds) {
        answer_sizes_.push_back(
            expected_answer(site_, service_name(kind.row.service), kind.path, "00000000").size());
    }
}

void load_source::set_rate(double rate) {
    rate_ = rate;
    ++rate_version_;
    schedule_next();
}

void load_source::schedule_next() {
    const double wait = -std::log(1.0 - random_.unit()) / rate_;
    fleet_.clock().after(duration(static_cast<duration::rep>(wait * 1e6)),
                         [this, version = rate_version_] {
                             if (rate_ > 0 && version == rate_version_) {
                                 create();
                                 schedule_next();
                             }
                         });
}

std::size_t load_source::draw_kind() {
    double drawn = random_.unit();
    for (std::size_t i = 0; i < site_.kinds.size(); ++i) {
        drawn -= site_.kinds[i].share;
        if (drawn < 0) {
            return i;
        }
    }
    return site_.kinds.size() - 1;
}

void load_source::create() {
    const auto number = requests_.size();
    caller_request request;
    request.kind = draw_kind();
    request.sent = fleet_.clock().now();
    request.path = site_.kinds[request.kind].path;
    request.body = fmt::format("{:08}", number);
    request.retries_left = settings_.retries;
    if (settings_.crash_every > 0 && number % settings_.crash_every == settings_.crash_every - 1) {
        request.path += "/crash";
    }
    requests_.push_back(std::move(request));
    send({number, ""});
}

void load_source::send(const submission& what) {
    const auto& request = requests_[what.request];
    const auto& row = site_.kinds[request.kind].row;
    http_request sent;
    sent.method = row.method;
    sent.path = request.path;
    sent.service = service_name(row.service);
    sent.body = request.body;
    sent.idempotency_key = what.key;
    sent.caller = "caller-" + request.body;
    // The caller's timeout is the deadline plus the round-trip latency to the node.
    const auto caller_timeout = row.deadline + 2 * site_.network.caller_latency;
    auto is_open = std::make_shared<bool>(true);
    const auto submission_id = fleet_.submit(nodes_[random_.below(nodes_.size())], std::move(sent),
                                             [this, what, is_open](const caller_result& result) {
                                                 *is_open = false;
                                                 on_result(what, result);
                                             });
    fleet_.clock().after(caller_timeout + 1ms, [this, what, is_open, submission_id] {
        if (*is_open) {
            fleet_.withdraw(submission_id);
            record_failure(what, request_status::unknown);
        }
    });
}

void load_source::on_result(const submission& what, const caller_result& result) {
    auto& request = requests_[what.request];
    if (result.info.reason == refusal::key_required && !result.idempotency_key.empty()) {
        send({what.request, result.idempotency_key});
        return;
    }
    const bool is_complete = result.status == ok_status &&
                             result.info.result == outcome::completed &&
                             result.body.size() == answer_sizes_[request.kind];
    if (is_complete) {
        request.status = request_status::completed;
        request.ended = fleet_.clock().now();
    } else if (result.info.result == outcome::not_run) {
        record_failure(what, request_status::refused);
    } else if (result.info.result == outcome::completed) {
        record_failure(what, request_status::failed);
    } else {
        record_failure(what, request_status::unknown);
    }
}

void load_source::record_failure(const submission& what, request_status status) {
    auto& request = requests_[what.request];
    request.status = status;
    if (request.retries_left == 0) {
        return;
    }
    --request.retries_left;
    const duration wait(static_cast<duration::rep>(random_.below(max_resend_delay.count())));
    fleet_.clock().after(wait, [this, what] { send(what); });
}

} // namespace trefoil
