// Passes an attempt's reply on to the client that waits for it.
#pragma once

#include <memory>

#include <trefoil/http1/server.hpp>

#include "attempt.hpp"

namespace trefoil {

/// Passes the body on as fast as the client takes it and no faster.
class reply_relay {
public:
    explicit reply_relay(std::shared_ptr<http1::served_request> client)
        : client_(std::move(client)) {}

    /// Begins with the head and what is there of the body; `extra` fields are added.
    void begin(attempt_reply reply, const std::vector<http_header>& extra);
    void pass(std::string_view bytes, attempt& from);
    void finish();
    /// The reply broke off; the client must see that.
    void abort();

    /// The client has taken what was sent.
    void resume(attempt& from);

private:
    /// Bytes that may wait for the client before the target's connection is read no further.
    static constexpr std::size_t max_unsent_bytes = 128U << 10U;

    std::shared_ptr<http1::served_request> client_;
    bool is_paused_ = false;
};

} // namespace trefoil
