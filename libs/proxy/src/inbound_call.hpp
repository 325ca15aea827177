// A request that another node sends for the target on this machine.
#pragma once

#include <memory>
#include <string>

#include <trefoil/http1/server.hpp>

#include "attempt.hpp"
#include "incoming_body.hpp"
#include "peer_message.hpp"
#include "proxy_state.hpp"
#include "reply_relay.hpp"

namespace trefoil {

/// Submits a peer's request to the target dispatcher and relays the target's response or the
/// dispatcher's verdict to the peer.
class inbound_call : public std::enable_shared_from_this<inbound_call> {
public:
    static void serve(proxy_state& state, std::shared_ptr<http1::served_request> request);

    inbound_call(proxy_state& state, std::shared_ptr<http1::served_request> request);

private:
    void start();
    void body_arrived();
    /// Passes on what has arrived of a streamed body if the attempt has room for it.
    void send_more_body();
    void submit();
    target_request make_target_request();
    void handle_event(attempt_event event);
    void answer(const peer_verdict& verdict);
    void end();
    std::vector<http_header> load_header() const;

    proxy_state& state_;
    std::shared_ptr<http1::served_request> request_;
    time_point arrived_;
    run_terms terms_;
    std::string request_id_;
    incoming_body body_;
    std::unique_ptr<attempt> attempt_;
    std::optional<reply_relay> relay_;
    bool is_submitted_ = false;
    bool is_finished_ = false;
};

} // namespace trefoil
