// Forwards the reply of an attempt to the waiting client.
#pragma once

#include <cstdint>
#include <memory>

#include <trefoil/http1/server.hpp>

#include "attempt.hpp"

namespace trefoil {

/// How far a response has come. Two values differ if it has advanced in between.
struct relay_progress {
    /// Bytes of the body that have come from the source.
    std::uint64_t forwarded_bytes = 0;
    /// Bytes of all responses that have reached the machine of the client.
    std::uint64_t acknowledged_bytes = 0;
    bool is_next = false;

    friend bool operator==(const relay_progress&, const relay_progress&) = default;
};

/// What a response that has begun waits for.
enum class relay_wait : std::uint8_t {
    /// Earlier requests of the connection are not answered yet.
    earlier_responses,
    /// The client has not taken what was sent.
    client,
    source,
};

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

    relay_progress progress() const;
    /// What the response waits for at the moment.
    relay_wait waits_for() const;

private:
    /// Number of bytes that may wait for the client before the source is paused.
    static constexpr std::size_t max_unsent_bytes = 128U << 10U;

    std::shared_ptr<http1::served_request> client_;
    std::uint64_t forwarded_bytes_ = 0;
    bool is_paused_ = false;
};

} // namespace trefoil
