// The body of a request, from its sender to the attempts to have the request answered.
#pragma once

#include <memory>
#include <string>

#include <trefoil/http1/body_memory.hpp>
#include <trefoil/http1/server.hpp>

#include "attempt.hpp"

namespace trefoil {

/// Buffers a request's body until an attempt can start, and forwards what arrives later. A body
/// that is larger than may be buffered is streamed: it can be passed to one attempt only.
class incoming_body {
public:
    incoming_body(std::shared_ptr<http1::served_request> from, http1::body_memory& memory)
        : from_(std::move(from)), memory_(memory), held_(memory) {}

    /// Takes what has arrived. Returns true once an attempt can start: the body is complete, or as
    /// large as may be buffered.
    bool take_for_start();

    /// True if the attempt that was started last has got the whole body.
    bool is_complete() const { return is_complete_; }
    bool is_streamed() const { return is_streamed_; }
    /// Number of bytes that are buffered for an attempt.
    std::size_t buffered_size() const { return buffered_.size(); }

    /// Returns the body, or its first part, for an attempt. Keeps it for a further attempt unless
    /// it is streamed.
    std::string copy_for_attempt();
    /// Returns the body, or its first part, for the only attempt.
    std::string move_to_attempt() { return std::move(buffered_); }

    /// Passes on what has arrived of a streamed body if the attempt has room for it; `running` is
    /// null while there is no attempt.
    void forward(attempt* running);

    /// Records how much the request holds for its sender.
    void note_held_bytes(const attempt* running);

    /// Drops what is buffered for further attempts.
    void drop_buffered();

    /// Drops the body of a request that has ended.
    void release();

private:
    std::shared_ptr<http1::served_request> from_;
    http1::body_memory& memory_;
    http1::body_memory_share held_;
    std::string buffered_;
    bool is_complete_ = false;
    bool is_streamed_ = false;
    bool is_released_ = false;
};

} // namespace trefoil
