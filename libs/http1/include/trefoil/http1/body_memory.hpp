// Memory that a process uses for the request bodies that it holds.
#pragma once

#include <cstddef>

namespace trefoil::http1 {

/// The number of bytes of request bodies that a process holds for senders, and how many it should
/// hold at most. Beyond that each request is allowed only a small part of what it may hold
/// otherwise, but never nothing, so that every request can go on without waiting for others.
class body_memory {
public:
    explicit body_memory(std::size_t max_bytes) : max_bytes_(max_bytes) {}
    body_memory(const body_memory&) = delete;
    body_memory& operator=(const body_memory&) = delete;

    bool is_short() const { return held_bytes_ > max_bytes_; }
    std::size_t held_bytes() const { return held_bytes_; }

private:
    friend class body_memory_share;
    std::size_t held_bytes_ = 0;
    std::size_t max_bytes_;
};

/// The part of the memory that one request uses. It is given up when the share is destroyed.
class body_memory_share {
public:
    explicit body_memory_share(body_memory& all) : all_(all) {}
    ~body_memory_share() { set(0); }
    body_memory_share(const body_memory_share&) = delete;
    body_memory_share& operator=(const body_memory_share&) = delete;

    /// Replaces the number of bytes that the request holds.
    void set(std::size_t bytes) {
        all_.held_bytes_ += bytes - bytes_;
        bytes_ = bytes;
    }

private:
    body_memory& all_;
    std::size_t bytes_ = 0;
};

} // namespace trefoil::http1
