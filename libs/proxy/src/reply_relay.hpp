// Forwards the reply of an attempt to the waiting client.
#pragma once

#include <memory>

#include <trefoil/http1/server.hpp>

#include "attempt.hpp"

namespace trefoil {

/// Forwards a reply to the client with backpressure: the source is paused while too many bytes are
/// waiting for the client.
class reply_relay {
public:
    explicit reply_relay(std::shared_ptr<http1::served_request> client)
        : client_(std::move(client)) {}

    /// Sends the head with the `extra` fields added, and the part of the body that is available.
    void begin(attempt_reply reply, const std::vector<http_header>& extra);
    void forward(std::string_view bytes, attempt& source);
    void finish();
    /// Aborts the response so that the client can detect the truncation.
    void abort();

    /// Resumes the source if it is paused and everything has been sent to the client.
    void resume(attempt& source);

private:
    /// Number of bytes that may wait for the client before the source is paused.
    static constexpr std::size_t max_unsent_bytes = 128U << 10U;

    std::shared_ptr<http1::served_request> client_;
    bool is_paused_ = false;
};

} // namespace trefoil
