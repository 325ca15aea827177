// Callers of a site: an open loop of requests, each sent again when it fails.
#pragma once

#include <deque>
#include <unordered_map>

#include <trefoil/experiment/site.hpp>

namespace trefoil {

/// How one request of a caller ended, over all times that it was sent.
enum class request_end : std::uint8_t { open, completed, refused, failed, unknown };

/// One request of a caller.
struct caller_request {
    std::size_t kind = 0;
    time_point sent;
    /// When it completed.
    time_point ended;
    request_end end = request_end::open;
    std::string path;
    std::string body;
    std::uint32_t tries_left = 0;
};

/// How callers behave.
struct load_settings {
    std::uint32_t retries = 0;
    std::uint64_t crash_every = 0;
    std::uint64_t seed = 1;
};

/// Sends requests at a rate that can be changed, spaced exponentially, to nodes at random.
class load_source {
public:
    load_source(virtual_fleet& fleet, const site& where, load_settings settings);

    /// Requests a second from now on.
    void set_rate(double rate);
    void stop() { rate_ = 0; }

    /// All requests in the order in which they were first sent. A request's body is its number.
    const std::deque<caller_request>& requests() const { return requests_; }

private:
    struct sending {
        std::size_t request = 0;
        std::string key;
    };

    void schedule_next();
    void create();
    void send(const sending& what);
    void told(const sending& what, const caller_result& result);
    void fail(const sending& what, request_end end);
    std::size_t draw_kind();

    virtual_fleet& fleet_;
    const site& site_;
    load_settings settings_;
    random_source random_;
    std::vector<instance_id> nodes_;
    std::vector<std::size_t> answer_sizes_;
    std::deque<caller_request> requests_;
    double rate_ = 0;
    std::uint64_t rate_version_ = 0;
};

} // namespace trefoil
