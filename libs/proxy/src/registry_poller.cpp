#include "registry_poller.hpp"

#include <utility>

#include <trefoil/base/overloaded.hpp>
#include <trefoil/http1/header_rules.hpp>

namespace trefoil {
namespace {

constexpr http1::connection_pool_limits pool_limits{1, std::chrono::milliseconds(30'000)};
/// A larger body is not accepted.
constexpr std::size_t max_body_bytes = 16U << 20U;
/// Maximum time without a byte once the answer has begun.
constexpr duration progress_timeout = 300ms;
constexpr int status_ok = 200;

} // namespace

registry_poller::registry_poller(uv_loop_s* loop)
    : client_(loop, pool_limits), timer_(loop, [this] { finish(std::nullopt); }) {}

void registry_poller::start(const endpoint& node, const registry_poll& poll, duration timeout,
                            answer_handler on_answer) {
    on_answer_ = std::move(on_answer);
    answer_.reset();
    body_.clear();
    http1::request_head head;
    head.method = "GET";
    head.target = "/";
    head.headers = {{std::string(poll_field), encode_poll(poll)},
                    {std::string(poll_era_field), encode_era(poll.era)}};
    http1::exchange_options options;
    options.connect_timeout = whole_ms(timeout);
    if (poll.is_urgent) {
        options.max_idle_time = std::chrono::milliseconds(0);
    }
    exchange_ =
        client_.start(node, head, {}, true, std::move(options),
                      [this](http1::exchange_event event) { handle_event(std::move(event)); });
    timer_.start(timeout);
}

void registry_poller::handle_event(http1::exchange_event event) {
    timer_.start(progress_timeout);
    std::visit(overloaded{[&](const http1::response_head& head) {
                              if (head.status == status_ok) {
                                  read_head(head);
                              }
                          },
                          [&](const http1::body_piece& piece) {
                              body_ += piece.bytes;
                              if (body_.size() > max_body_bytes) {
                                  finish(std::nullopt);
                              }
                          },
                          [&](const http1::message_end&) { finish_response(); },
                          [&](http1::exchange_failure) { finish(std::nullopt); }},
               event);
}

void registry_poller::read_head(const http1::response_head& head) {
    answer_ = decode_poll_answer(find_header(head.headers, poll_field));
    if (answer_) {
        answer_->difference.era = decode_era(find_header(head.headers, poll_era_field));
        answer_->since_failure =
            decode_since_failure(find_header(head.headers, poll_failure_field));
    }
}

void registry_poller::finish_response() {
    auto records = decode_records(body_);
    if (!answer_ || !records) {
        finish(std::nullopt);
        return;
    }
    answer_->difference.records = std::move(*records);
    finish(std::move(answer_));
}

void registry_poller::finish(std::optional<registry_poll_answer> answer) {
    timer_.stop();
    exchange_.reset();
    const auto on_answer = std::exchange(on_answer_, nullptr);
    on_answer(std::move(answer));
}

} // namespace trefoil
