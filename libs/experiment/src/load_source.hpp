// Open-loop load generator for the callers of a site.
#pragma once

#include <deque>
#include <unordered_map>

#include <trefoil/experiment/site.hpp>

namespace trefoil {

/// Status of a caller's request after the last time that it was sent. Open requests have no result.
enum class request_status : std::uint8_t { open, completed, refused, failed, unknown };

/// One request of a caller, with all times that it is sent.
struct caller_request {
    std::size_t kind = 0;
    time_point sent;
    /// Time of completion; set only for completed requests.
    time_point ended;
    request_status status = request_status::open;
    std::string path;
    std::string body;
    std::uint32_t retries_left = 0;
};

/// Behaviour of the callers.
struct load_settings {
    /// Number of times that a caller sends an unsuccessful request again.
    std::uint32_t retries = 0;
    /// Every n-th request crashes the targets that run it; 0 for none.
    std::uint64_t crash_every = 0;
    std::uint64_t seed = 1;
};

/// Sends requests to random nodes as a Poisson process with an adjustable rate. Unsuccessful
/// requests are sent again after a random delay.
class load_source {
public:
    load_source(virtual_fleet& fleet, const site& where, load_settings settings);

    /// Sets the rate in requests per second from now on.
    void set_rate(double rate);
    /// Stops generating new requests. Retries of earlier requests continue.
    void stop() { rate_ = 0; }

    /// All requests, in the order in which they were first sent. Their bodies are their indices.
    const std::deque<caller_request>& requests() const { return requests_; }

private:
    struct submission {
        std::size_t request = 0;
        std::string key;
    };

    void schedule_next();
    void create();
    void send(const submission& what);
    void on_result(const submission& what, const caller_result& result);
    void record_failure(const submission& what, request_status status);
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
