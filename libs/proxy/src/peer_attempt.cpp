#include "peer_attempt.hpp"

#include <trefoil/base/overloaded.hpp>
#include <trefoil/http1/header_rules.hpp>

#include "reply_collector.hpp"
#include "target_announcement.hpp"

namespace trefoil {
namespace {

/// Round trips between nodes take a few milliseconds. A node that does not accept a connection
/// within this time is unreachable or down.
constexpr std::chrono::milliseconds peer_connect_timeout{400};
/// A request that cannot be repeated goes over a new connection: a pooled one may be closing or
/// silent, and it would then be unknown whether the request has run.
constexpr std::chrono::milliseconds non_idempotent_max_idle{0};
/// Maximum time without an acknowledgement for a request that can be repeated. A segment is sent
/// again after 200 ms if it was lost.
constexpr std::chrono::milliseconds idempotent_acknowledgement_timeout{500};
/// Larger bodies may have to wait until the peer has read a part of them.
constexpr std::size_t max_body_acknowledged_at_once = 16U << 10U;

class peer_attempt : public attempt {
public:
    explicit peer_attempt(attempt_handler on_event) : on_event_(std::move(on_event)) {}

    void start(http1::client& client, const header_field_names& fields, peer_request request) {
        request.head.headers.push_back({std::string(terms_field), encode_terms(request.terms)});
        if (request.rate_limit) {
            request.head.headers.push_back(
                {std::string(limit_field), encode_rate_limit(*request.rate_limit)});
        }
        set_header(request.head.headers, fields.remaining_time,
                   encode_milliseconds(request.terms.remaining));
        http1::exchange_options options;
        options.connect_timeout = peer_connect_timeout;
        if (request.terms.repeats == repeatability::at_most_once) {
            options.max_idle_time = non_idempotent_max_idle;
        } else if (request.is_body_complete &&
                   request.body.size() <= max_body_acknowledged_at_once) {
            options.acknowledgement_timeout = idempotent_acknowledgement_timeout;
        }
        exchange_ = client.start(
            request.peer, request.head, request.body, request.is_body_complete, std::move(options),
            [this](http1::exchange_event event) { handle_event(std::move(event)); });
    }

    void send_body(std::string_view bytes) override {
        if (exchange_ != nullptr) {
            exchange_->send_body(bytes);
        }
    }
    void finish_body() override {
        if (exchange_ != nullptr) {
            exchange_->finish_body();
        }
    }
    std::size_t unsent_bytes() const override {
        return exchange_ != nullptr ? exchange_->unsent_bytes() : 0;
    }
    void set_drained_handler(std::function<void()> on_drained) override {
        if (exchange_ != nullptr) {
            exchange_->set_drained_handler(std::move(on_drained));
        }
    }
    bool may_have_run() const override { return exchange_ == nullptr || exchange_->was_sent(); }
    void pause() override {
        if (exchange_ != nullptr) {
            exchange_->pause();
        }
    }
    void resume() override {
        if (exchange_ != nullptr) {
            exchange_->resume();
        }
    }

private:
    void handle_event(http1::exchange_event event) {
        auto passed = collector_.handle(std::move(event));
        if (!passed) {
            return;
        }
        if (auto* reply = std::get_if<attempt_reply>(&*passed)) {
            passed = classify(std::move(*reply));
        }
        const auto handler = on_event_;
        handler(std::move(*passed));
    }

    /// Distinguishes responses of the target from those that the peer generated itself.
    static attempt_event classify(attempt_reply reply) {
        reply.load = decode_load(find_header(reply.head.headers, load_field));
        reply.downstream = decode_downstream(find_header(reply.head.headers, downstream_field));
        reply.shortage = decode_shortage(find_header(reply.head.headers, shortage_field));
        const auto text = find_header(reply.head.headers, verdict_field);
        if (text.empty()) {
            std::erase_if(reply.head.headers,
                          [](const http_header& field) { return is_peer_field(field.name); });
            return reply;
        }
        auto verdict = decode_verdict(text);
        if (!verdict) {
            return attempt_failure{attempt_error::bad_answer};
        }
        if (auto* refused = std::get_if<attempt_refusal>(&*verdict)) {
            refused->load = reply.load;
            return *refused;
        }
        return std::get<attempt_failure>(*verdict);
    }

    attempt_handler on_event_;
    std::unique_ptr<http1::exchange> exchange_;
    reply_collector collector_;
};

} // namespace

std::unique_ptr<attempt> start_peer_attempt(http1::client& client, const header_field_names& fields,
                                            peer_request request, attempt_handler on_event) {
    auto made = std::make_unique<peer_attempt>(std::move(on_event));
    made->start(client, fields, std::move(request));
    return made;
}

} // namespace trefoil
