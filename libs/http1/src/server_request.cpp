#include "server_request.hpp"

#include <trefoil/http1/header_rules.hpp>

#include "server_connection.hpp"

namespace trefoil::http1 {

std::string server_request::take_body() {
    auto taken = std::exchange(body_, {});
    if (const auto owner = owner_.lock()) {
        owner->adjust_reading();
    }
    return taken;
}

void server_request::respond(response_head head, std::string_view body) {
    head.omits_body = head.omits_body && !may_have_body(head);
    if (!head.omits_body) {
        const bool has_framing = head.framing != body_framing::none || !body.empty();
        head.framing = has_framing ? body_framing::length : body_framing::none;
        head.content_length = body.size();
    }
    const auto owner = owner_.lock();
    if (owner == nullptr || is_answered_) {
        return;
    }
    closes_connection_ = closes_connection_ || owner->will_close();
    auto bytes = to_bytes(head, closes_connection_);
    if (may_have_body(head)) {
        bytes += body;
    }
    set_answered();
    output_ += bytes;
    owner->send_ready_output();
}

void server_request::begin(response_head head) {
    const auto owner = owner_.lock();
    if (owner == nullptr) {
        return;
    }
    sends_body_ = may_have_body(head);
    if (!sends_body_) {
        head.omits_body = true;
        head.framing =
            head.framing == body_framing::length ? body_framing::length : body_framing::none;
    } else if (head.framing == body_framing::connection_close) {
        head.framing = body_framing::chunked;
    }
    answer_framing_ = head.framing;
    closes_connection_ = closes_connection_ || owner->will_close();
    emit(to_bytes(head, closes_connection_));
}

void server_request::write(std::string_view bytes) {
    if (sends_body_ && !bytes.empty()) {
        emit(answer_framing_ == body_framing::chunked ? to_chunk(bytes) : std::string(bytes));
    }
}

void server_request::finish() {
    if (answer_framing_ == body_framing::chunked) {
        output_ += last_chunk;
    }
    set_answered();
    if (const auto owner = owner_.lock()) {
        owner->send_ready_output();
    }
}

void server_request::abort() {
    if (const auto owner = owner_.lock()) {
        handlers_ = {};
        is_aborted_ = true;
        owner->end_with(*this);
    }
}

std::size_t server_request::unsent_bytes() const {
    const auto owner = owner_.lock();
    return output_.size() + (owner == nullptr || !is_next_ ? 0 : owner->unsent_bytes());
}

std::uint64_t server_request::acknowledged_bytes() const {
    const auto owner = owner_.lock();
    return owner == nullptr ? 0 : owner->acknowledged_bytes();
}

void server_request::set_answered() {
    is_answered_ = true;
    body_.clear();
    body_.shrink_to_fit();
}

void server_request::emit(const std::string& bytes) {
    const auto owner = owner_.lock();
    if (owner == nullptr) {
        return;
    }
    if (is_next_) {
        owner->send(bytes);
    } else {
        output_ += bytes;
    }
}

} // namespace trefoil::http1
