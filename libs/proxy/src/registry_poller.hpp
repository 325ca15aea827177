// Polls another node for what the registry publishes.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <trefoil/base/endpoint.hpp>
#include <trefoil/http1/client.hpp>
#include <trefoil/http1/loop_timer.hpp>

#include "registry_poll.hpp"

struct uv_loop_s;

namespace trefoil {

/// Sends one poll at a time.
class registry_poller {
public:
    /// Called once for each poll, asynchronously, with nothing if there is no usable answer.
    using answer_handler = std::function<void(std::optional<registry_poll_answer>)>;

    explicit registry_poller(uv_loop_s* loop);
    registry_poller(const registry_poller&) = delete;
    registry_poller& operator=(const registry_poller&) = delete;

    /// Polls a node. An urgent poll goes over a new connection, since a pooled one may be silent.
    void start(const endpoint& node, const registry_poll& poll, duration timeout,
               answer_handler on_answer);

    bool is_active() const { return on_answer_ != nullptr; }

    /// Closes the idle connections whose idle timeout has elapsed.
    void close_expired_connections() { client_.close_expired_connections(); }

private:
    void handle_event(http1::exchange_event event);
    void read_head(const http1::response_head& head);
    void finish_response();
    void finish(std::optional<registry_poll_answer> answer);

    http1::client client_;
    http1::loop_timer timer_;
    std::unique_ptr<http1::exchange> exchange_;
    answer_handler on_answer_;
    std::optional<registry_poll_answer> answer_;
    std::string body_;
};

} // namespace trefoil
