// A request that another node sends for the target on this machine.
#pragma once

#include <memory>
#include <string>

#include <trefoil/http1/server.hpp>

#include "attempt.hpp"
#include "peer_message.hpp"
#include "proxy_state.hpp"
#include "reply_relay.hpp"

namespace trefoil {

/// Hands the request to the gate and its verdict or the target's answer to the other node.
class inbound_call : public std::enable_shared_from_this<inbound_call> {
public:
    static void serve(proxy_state& state, std::shared_ptr<http1::served_request> request);

    inbound_call(proxy_state& state, std::shared_ptr<http1::served_request> request);

private:
    void start();
    void body_arrived();
    void submit();
    gate_request make_gate_request();
    void take(attempt_event event);
    void answer(const peer_verdict& verdict);
    void end();
    std::vector<http_header> load_header() const;

    proxy_state& state_;
    std::shared_ptr<http1::served_request> request_;
    time_point arrived_;
    run_terms terms_;
    std::string request_id_;
    std::unique_ptr<attempt> work_;
    std::optional<reply_relay> relay_;
    bool is_submitted_ = false;
    bool is_body_sent_ = false;
    bool is_over_ = false;
};

} // namespace trefoil
