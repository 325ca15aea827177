// Detects crashes of the target on this machine and reports the requests that were running.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <trefoil/base/endpoint.hpp>
#include <trefoil/http1/client.hpp>
#include <trefoil/http1/loop_timer.hpp>
#include <trefoil/http1/tcp_stream.hpp>
#include <trefoil/traffic/crash_record.hpp>

struct uv_loop_s;

namespace trefoil {

/// The requests that were running when a target crashed.
struct crash_notice {
    /// Identifies the crash across all nodes.
    std::uint64_t crash_id = 0;
    std::vector<request_fingerprint> requests;

    friend bool operator==(const crash_notice&, const crash_notice&) = default;
};

/// Header field that holds a crash notice, on requests between proxies that carry nothing else.
inline constexpr std::string_view crash_field = "trefoil-death";

std::string encode_crash_notice(const crash_notice& notice);
/// Returns a notice without requests if the text is malformed.
crash_notice decode_crash_notice(std::string_view text);

/// Attributes crashes of the target to requests. After a connection to the target is lost, the
/// detector opens a probe connection. If the target does not accept it, the target has crashed, and
/// every request lost since shortly before is suspected. Requests that are lost while the target
/// accepts connections are not suspected.
class crash_detector {
public:
    /// Called with the notice of each crash of the target on this machine.
    using crash_handler = std::function<void(const crash_notice&)>;

    crash_detector(uv_loop_s* loop, endpoint target, std::uint64_t seed, crash_handler on_crash);

    /// Reports that the connection of a request to the target was lost.
    void report_lost(request_fingerprint request);
    /// Reports that the target has answered a request completely.
    void report_completed(request_fingerprint request);

    /// Records a notice from this node or another one.
    void receive_notice(const crash_notice& notice);

    /// True if the request is quarantined because of past crashes.
    bool is_blocked(request_fingerprint request) const;

private:
    /// Opens a probe connection to the target.
    void probe_target();
    void finish_probe(bool is_alive);
    time_point now() const;

    uv_loop_s* loop_;
    endpoint target_;
    std::uint64_t next_crash_id_;
    crash_handler on_crash_;
    crash_record record_;
    std::vector<request_fingerprint> lost_requests_;
    /// Delays the probe, so that further losses of the same crash are collected first.
    http1::loop_timer timer_;
    std::unique_ptr<http1::tcp_stream> probe_;
};

} // namespace trefoil
