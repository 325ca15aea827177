#include "client_pool.hpp"

#include <algorithm>
#include <charconv>

#include <trefoil/base/overloaded.hpp>
#include <trefoil/http1/header_rules.hpp>

namespace trefoil::http1 {
namespace {

/// Maximum number of bytes that are read before the expected response begins: interim responses and
/// responses to earlier requests.
constexpr std::size_t max_bytes_before_response = 1U << 20U;

/// Returns the idle timeout announced by a `Keep-Alive: timeout=SECONDS` field, if there is one.
std::optional<std::chrono::milliseconds> idle_timeout_of(const response_head& head) {
    const auto value = find_header(head.headers, "keep-alive");
    const auto at = value.find("timeout=");
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const auto digits = value.substr(at + std::string_view("timeout=").size());
    unsigned seconds = 0;
    if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec != std::errc()) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

answer_fault fault_of(parse_failure failure) {
    switch (failure) {
    case parse_failure::malformed:
    case parse_failure::head_too_large:
        return answer_fault::malformed;
    case parse_failure::truncated:
        return answer_fault::truncated;
    case parse_failure::bad_status:
        return answer_fault::bad_status;
    case parse_failure::bad_field:
        return answer_fault::bad_field;
    case parse_failure::bad_version:
        return answer_fault::bad_version;
    case parse_failure::bad_reason:
        return answer_fault::bad_reason;
    case parse_failure::bad_line_end:
        return answer_fault::bad_line_end;
    case parse_failure::bad_coding:
        return answer_fault::bad_coding;
    }
    return answer_fault::malformed;
}

/// True if the Connection field contains `close` or `Close`.
bool has_connection_close(const std::vector<http_header>& headers) {
    return find_header(headers, "connection").find("lose") != std::string_view::npos;
}

/// True if the head begins with a part of another one: where that part ends within the reason or
/// the value of a field, the status line of the second head continues it, and fields that stood
/// before come again.
bool is_mixed(const response_head& head) {
    const auto holds_status_line = [](std::string_view text) {
        return find_status_line(text) != std::string_view::npos;
    };
    if (holds_status_line(head.reason)) {
        return true;
    }
    const auto& fields = head.headers;
    const auto cut = std::find_if(fields.begin(), fields.end(), [&](const http_header& field) {
        return holds_status_line(field.value);
    });
    return cut != fields.end() &&
           std::any_of(fields.begin(), cut + 1, [&](const http_header& before) {
               return std::any_of(cut + 1, fields.end(), [&](const http_header& after) {
                   return after.name == before.name;
               });
           });
}

} // namespace

void client::impl::connection::on_data(std::string_view bytes) {
    const auto lifetime_guard = shared_from_this();
    if (exchange_ == nullptr) {
        // Unexpected data on an idle connection: a late response to an earlier request.
        stream_.reset();
        if (const auto pool = pool_.lock()) {
            pool->remove_idle(this);
        }
        report_discarded(discard_cause::not_asked, std::nullopt);
        return;
    }
    has_answer_bytes_ = true;
    std::vector<response_event> events;
    parser_.feed(bytes, events);
    handle_events(std::move(events));
    if (exchange_ != nullptr && !is_answer_begun_) {
        bytes_before_answer_ += bytes.size();
        if (bytes_before_answer_ > max_bytes_before_response) {
            fail(answer_fault::endless);
        }
    }
}

void client::impl::connection::on_closed(close_reason end_reason) {
    const auto lifetime_guard = shared_from_this();
    if (exchange_ == nullptr) {
        stream_.reset();
        if (const auto pool = pool_.lock()) {
            pool->remove_idle(this);
        }
        return;
    }
    is_reusable_ = false;
    if (end_reason == close_reason::closed) {
        std::vector<response_event> events;
        parser_.finish(events);
        handle_events(std::move(events));
    }
    const auto pool = pool_.lock();
    if (exchange_ != nullptr && pool != nullptr && is_lost(end_reason) && !has_answer_bytes_) {
        const auto waited = uv_now(pool->loop_) - request_started_;
        if (waited >= static_cast<std::uint64_t>(acknowledgement_timeout_.count())) {
            pool->handle_silence(to_, request_started_);
        }
    }
    if (exchange_ == nullptr) {
        return;
    }
    if (end_reason == close_reason::not_connected) {
        fail(exchange_failure::not_sent);
    } else if (has_answer_bytes_) {
        fail(answer_fault::truncated);
    } else {
        fail(exchange_failure::connection_lost);
    }
}

void client::impl::connection::on_drained() {
    const auto lifetime_guard = shared_from_this();
    if (exchange_ != nullptr) {
        exchange_->notify_drained();
    }
}

void client::impl::connection::handle_events(std::vector<response_event> events) {
    for (auto& event : events) {
        if (exchange_ == nullptr) {
            return;
        }
        std::visit(overloaded{[&](response_head& head) { on_head(head); },
                              [&](body_piece& piece) { on_body(piece); },
                              [&](const message_end& end) { on_message_end(end); },
                              [&](parse_failure failure) { fail(fault_of(failure)); }},
                   event);
    }
}

void client::impl::connection::on_head(response_head& head) {
    body_.reset();
    if (is_mixed(head)) {
        fail(answer_fault::mixed);
        return;
    }
    if (head.status / 100 == 1) {
        discards_answer_ = true;
        return;
    }
    const auto cause = cause_to_discard(head);
    discards_answer_ = cause.has_value();
    if (discards_answer_) {
        is_reusable_ = false;
        report_discarded(*cause, std::move(head));
        return;
    }
    if (identity_ && find_header(head.headers, identity_->field).empty()) {
        is_reusable_ = false;
    }
    peer_timeout_ = idle_timeout_of(head);
    if (has_connection_close(head.headers)) {
        is_reusable_ = false;
    }
    is_answer_begun_ = true;
    exchange_->emit(std::move(head));
}

void client::impl::connection::on_body(body_piece& piece) {
    if (identity_) {
        body_.feed(piece.bytes);
    }
    if (discards_answer_ ? body_.has_status_line() : holds_another_answer()) {
        fail(answer_fault::mixed);
    } else if (!discards_answer_) {
        exchange_->emit(std::move(piece));
    }
}

bool client::impl::connection::holds_another_answer() const {
    if (!body_.has_status_line()) {
        return false;
    }
    const auto named = body_.field(identity_->field);
    return !named.empty() && has_carried(named);
}

void client::impl::connection::on_message_end(const message_end& end) {
    if (discards_answer_) {
        discards_answer_ = false;
        return;
    }
    if (end.is_followed && (body_.has_status_line() || body_.goes_on_in(end.next_bytes))) {
        fail(answer_fault::mixed);
        return;
    }
    is_answer_complete_ = true;
    auto* finished = exchange_;
    is_reusable_ =
        is_reusable_ && end.keep_alive && !end.is_followed && finished->is_body_complete();
    exchange_ = nullptr;
    const auto self = finished->release();
    const auto pool = pool_.lock();
    if (pool != nullptr && is_reusable()) {
        stream_->resume_reading();
        pool->add_idle(shared_from_this());
    } else {
        stream_.reset();
    }
    finished->emit(end);
}

std::optional<discard_cause>
client::impl::connection::cause_to_discard(const response_head& head) const {
    if (!identity_) {
        return std::nullopt;
    }
    const auto named = find_header(head.headers, identity_->field);
    if (!named.empty()) {
        return named == identity_->id ? std::nullopt : std::optional(discard_cause::foreign_id);
    }
    const bool is_only_request = use_.request == 1;
    return is_only_request ? std::nullopt : std::optional(discard_cause::no_id);
}

void client::impl::connection::report_discarded(discard_cause cause,
                                                std::optional<response_head> head) {
    const auto pool = pool_.lock();
    if (pool == nullptr) {
        return;
    }
    ++pool->counts_.unexpected_answers;
    if (pool->on_discarded_) {
        const bool has_request = exchange_ != nullptr && identity_;
        pool->on_discarded_(
            {cause, use_, has_request ? identity_->id : std::string(), std::move(head)});
    }
}

void client::impl::connection::fail(answer_fault fault) {
    use_.fault = fault;
    fail(exchange_failure::bad_answer);
}

void client::impl::connection::fail(exchange_failure failure) {
    auto* failed = std::exchange(exchange_, nullptr);
    stream_.reset();
    const auto self = failed->release();
    failed->emit(failure);
}

} // namespace trefoil::http1
