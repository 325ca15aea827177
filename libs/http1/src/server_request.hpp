// Request that a server has received, and its response.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include <trefoil/http1/server.hpp>

namespace trefoil::http1 {

class server_connection;

/// A request and the part of its response that is queued behind earlier responses.
class server_request : public served_request {
public:
    server_request(std::weak_ptr<server_connection> owner, request_head head)
        : owner_(std::move(owner)), head_(std::move(head)) {}

    const request_head& head() const override { return head_; }
    std::string take_body() override;
    std::size_t body_size() const override { return body_.size(); }
    bool is_body_complete() const override { return is_body_complete_; }
    void set_handlers(served_handlers handlers) override { handlers_ = std::move(handlers); }
    void respond(response_head head, std::string_view body) override;
    void begin(response_head head) override;
    void write(std::string_view bytes) override;
    void finish() override;
    void abort() override;
    std::size_t unsent_bytes() const override;
    bool is_next() const override { return is_next_; }
    std::uint64_t acknowledged_bytes() const override;

    /// Adds to the body. The rest of the body of an answered request is discarded.
    void add_body(const std::string& bytes) {
        if (!is_answered_) {
            body_ += bytes;
            call(handlers_.on_body);
        }
    }
    void complete_body() {
        is_body_complete_ = true;
        call(handlers_.on_body);
    }
    void notify_closed() {
        owner_.reset();
        call(handlers_.on_client_closed);
        handlers_ = {};
    }
    /// Tells the owner that the connection is closed, and marks the response as aborted.
    void give_up() {
        is_aborted_ = true;
        notify_closed();
    }
    void notify_writable() { call(handlers_.on_writable); }

    bool is_answered() const { return is_answered_; }
    bool is_aborted() const { return is_aborted_; }
    bool closes() const { return closes_connection_; }
    void set_closes_connection() { closes_connection_ = true; }
    std::string take_output() { return std::exchange(output_, {}); }
    /// Marks this as the oldest request of the connection, whose output is sent directly.
    void set_next() { is_next_ = true; }

private:
    static void call(const std::function<void()>& handler) {
        if (handler) {
            const auto copy = handler;
            copy();
        }
    }
    bool may_have_body(const response_head& answer) const {
        return head_.method != "HEAD" && !has_no_body(answer.status);
    }
    /// Discards the rest of the request body.
    void set_answered();
    /// Sends output of the oldest request; queues output of later ones.
    void emit(const std::string& bytes);

    std::weak_ptr<server_connection> owner_;
    request_head head_;
    std::string body_;
    std::string output_;
    served_handlers handlers_;
    body_framing answer_framing_ = body_framing::none;
    /// False if the response that begin() started has no body.
    bool sends_body_ = true;
    /// True once the responses to all earlier requests of the connection are complete.
    bool is_next_ = false;
    bool is_body_complete_ = false;
    bool is_answered_ = false;
    bool is_aborted_ = false;
    bool closes_connection_ = false;
};

} // namespace trefoil::http1
