#include "server_connection.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include <trefoil/base/overloaded.hpp>
#include <trefoil/http1/header_rules.hpp>

namespace trefoil::http1 {
namespace {

/// Maximum number of requests of one connection that are passed on before the first is answered.
constexpr std::size_t max_pipelined_requests = 32;
/// A small read, so that a connection that is no longer to be read from has taken little.
constexpr std::size_t max_read_bytes = 16U << 10U;

response_head make_error_head(int status, std::string reason) {
    response_head head;
    head.status = status;
    head.reason = std::move(reason);
    return head;
}

} // namespace

server_connection::server_connection(server_state& owner)
    : owner_(owner), parser_(owner.limits.max_head_bytes), last_activity_(uv_now(owner.loop)) {}

bool server_connection::open(uv_stream_t* listening) {
    stream_ = tcp_stream::accept(owner_.loop, listening,
                                 {{},
                                  [this](std::string_view bytes) { on_data(bytes); },
                                  [this](close_reason reason) { on_stream_closed(reason); },
                                  [this] { on_drained(); }});
    if (stream_ == nullptr) {
        return false;
    }
    stream_->set_max_read_bytes(max_read_bytes);
    return true;
}

void server_connection::close() {
    const auto self = shared_from_this();
    if (is_closed_) {
        return;
    }
    is_closed_ = true;
    stream_.reset();
    owner_.connections.erase(this);
    owner_.ending.remove(this);
    drop_requests();
}

void server_connection::end(unsent_output unsent) {
    const auto self = shared_from_this();
    if (is_closed_ || is_ending_) {
        return;
    }
    is_ending_ = true;
    owner_.ending.push_back(this);
    stream_->end(unsent);
    drop_requests();
    if (owner_.ending.size() > owner_.limits.max_ending_connections) {
        owner_.ending.front()->close();
    }
}

void server_connection::drop_requests() {
    auto open_requests = std::exchange(requests_, {});
    owner_.pending -= open_requests.size();
    for (const auto& open : open_requests) {
        open->notify_closed();
    }
}

void server_connection::check_timeouts(std::uint64_t now) {
    if (is_ending_) {
        return;
    }
    const auto age = now - last_activity_;
    const auto& limits = owner_.limits;
    if (!requests_.empty()) {
        // While reading is paused, the end of the connection is not reported.
        if (has_full_body_buffer() && stream_->has_peer_ended()) {
            close();
        }
        return;
    }
    if (parser_.is_in_head()) {
        if (now - head_started_ > static_cast<std::uint64_t>(limits.head_timeout.count())) {
            refuse(408, "Request Timeout");
        }
    } else if (age > static_cast<std::uint64_t>(limits.idle_timeout.count()) && !has_read_on(now)) {
        close_idle();
    }
}

void server_connection::close_idle() {
    if (stream_->has_unacknowledged_bytes()) {
        end(unsent_output::sent);
    } else {
        // A request that arrives now is not read, so that its client may send it again.
        close();
    }
}

void server_connection::send(std::string bytes) {
    if (stream_ != nullptr && !is_ending_) {
        stream_->write(std::move(bytes));
    }
}

void server_connection::send_ready_output() {
    if (is_closed_ || is_ending_) {
        return;
    }
    const auto self = shared_from_this();
    while (!requests_.empty()) {
        auto& first = *requests_.front();
        first.set_next();
        send(first.take_output());
        if (first.is_aborted()) {
            end(unsent_output::sent);
            return;
        }
        if (!first.is_answered()) {
            break;
        }
        const bool closes = first.closes();
        remove_first();
        if (closes) {
            end(unsent_output::sent);
            return;
        }
    }
    last_activity_ = uv_now(owner_.loop);
    adjust_reading();
    notify_if_drained();
}

void server_connection::end_with(const server_request& aborted) {
    is_refusing_ = true;
    const auto found = std::find_if(requests_.begin(), requests_.end(),
                                    [&](const auto& queued) { return queued.get() == &aborted; });
    const bool is_next = found == requests_.begin();
    if (found == requests_.end() || (is_next && !has_earlier_output_)) {
        end(unsent_output::dropped);
    } else {
        send_ready_output();
    }
}

void server_connection::adjust_reading() {
    if (stream_ == nullptr || is_ending_) {
        return;
    }
    const bool waits_for_answer =
        is_memory_short() && !requests_.empty() && requests_.back()->is_body_complete();
    const bool is_pipeline_full = requests_.size() >= max_pipelined_requests;
    if (has_full_body_buffer() || is_pipeline_full || waits_for_answer) {
        stream_->pause_reading();
    } else {
        stream_->resume_reading();
    }
}

bool server_connection::has_full_body_buffer() const {
    const auto max_bytes = is_memory_short() ? 0 : owner_.limits.max_waiting_body_bytes;
    return !requests_.empty() && requests_.back()->body_size() > max_bytes;
}

bool server_connection::is_reading_body() const {
    const auto last_received = last_request_.lock();
    return last_received != nullptr && !last_received->is_body_complete() && !requests_.empty() &&
           requests_.back() == last_received;
}

void server_connection::on_data(std::string_view bytes) {
    const auto self = shared_from_this();
    last_activity_ = uv_now(owner_.loop);
    if (is_refusing_) {
        return;
    }
    const bool was_in_head = parser_.is_in_head();
    std::vector<request_event> events;
    parser_.feed(bytes, events);
    if (parser_.is_in_head() && !(was_in_head && events.empty())) {
        head_started_ = last_activity_;
    }
    for (auto& event : events) {
        if (is_closed_ || is_ending_ || is_refusing_) {
            return;
        }
        std::visit(overloaded{[&](request_head& head) { on_head(std::move(head)); },
                              [&](body_piece& piece) { on_body_data(piece.bytes); },
                              [&](const message_end& end) { on_message_end(end.keep_alive); },
                              [&](parse_failure failure) { refuse_malformed(failure); }},
                   event);
    }
    if (!is_closed_) {
        adjust_reading();
    }
}

void server_connection::on_head(request_head head) {
    if (head.framing == body_framing::length &&
        head.content_length > owner_.limits.max_body_bytes) {
        refuse(413, "Content Too Large");
        return;
    }
    if (find_header(head.headers, "expect") == "100-continue" && requests_.empty()) {
        send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    discarded_body_request_.reset();
    const auto received = queue_request(std::move(head));
    last_request_ = received;
    owner_.on_request(received);
}

void server_connection::on_body_data(const std::string& bytes) {
    body_bytes_received_ += bytes.size();
    if (discarded_body_request_ != nullptr) {
        return;
    }
    if (body_bytes_received_ > owner_.limits.max_body_bytes) {
        refuse(413, "Content Too Large");
        return;
    }
    if (const auto last_received = last_request_.lock()) {
        last_received->add_body(bytes);
    }
}

void server_connection::on_message_end(bool keeps_connection) {
    body_bytes_received_ = 0;
    discarded_body_request_.reset();
    const auto last_received = last_request_.lock();
    if (last_received == nullptr) {
        return;
    }
    if (!keeps_connection) {
        last_received->set_closes_connection();
    }
    last_received->complete_body();
}

void server_connection::on_drained() {
    const auto self = shared_from_this();
    last_activity_ = uv_now(owner_.loop);
    has_earlier_output_ = false;
    notify_if_drained();
}

void server_connection::on_stream_closed(close_reason reason) {
    if (is_lost(reason) && stream_->unacknowledged_bytes() > 0) {
        report_cut(reason);
    }
    close();
}

std::shared_ptr<server_request> server_connection::queue_request(request_head head) {
    auto queued = std::make_shared<server_request>(weak_from_this(), std::move(head));
    requests_.push_back(queued);
    ++owner_.pending;
    if (requests_.size() == 1) {
        queued->set_next();
    }
    return queued;
}

void server_connection::remove_first() {
    finished_ = std::move(requests_.front());
    requests_.pop_front();
    --owner_.pending;
    has_earlier_output_ = unsent_bytes() > 0;
    if (!finished_->is_body_complete()) {
        discarded_body_request_ = finished_;
    }
}

void server_connection::refuse_malformed(parse_failure failure) {
    if (failure == parse_failure::head_too_large) {
        refuse(431, "Request Header Fields Too Large");
    } else {
        refuse(400, "Bad Request");
    }
}

void server_connection::refuse(int status, std::string reason) {
    if (is_reading_body()) {
        const auto unreadable = requests_.back();
        unreadable->give_up();
        end_with(*unreadable);
        return;
    }
    const auto refused = queue_request(request_head());
    refused->set_closes_connection();
    is_refusing_ = true;
    refused->respond(make_error_head(status, std::move(reason)), {});
}

void server_connection::report_cut(close_reason reason) const {
    if (!owner_.on_cut) {
        return;
    }
    const auto& described =
        finished_ == nullptr && !requests_.empty() ? requests_.front() : finished_;
    owner_.on_cut({reason, stream_->unacknowledged_bytes(), stream_->since_acknowledgement(),
                   requests_.size(), described == nullptr ? nullptr : &described->head()});
}

bool server_connection::has_read_on(std::uint64_t now) {
    if (stream_ == nullptr || !stream_->has_unacknowledged_bytes()) {
        return false;
    }
    const auto acknowledged = stream_->acknowledged_bytes();
    if (acknowledged == acknowledged_when_idle_) {
        return false;
    }
    acknowledged_when_idle_ = acknowledged;
    last_activity_ = now;
    return true;
}

void server_connection::notify_if_drained() {
    if (!requests_.empty() && unsent_bytes() == 0) {
        const auto first = requests_.front();
        first->notify_writable();
    }
}

} // namespace trefoil::http1
