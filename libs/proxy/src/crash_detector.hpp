// Finds out when the target on this machine has died, and tells the other nodes what ran then.
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

/// The requests that ran when a target died.
struct death_notice {
    /// Names the death across all nodes.
    std::uint64_t death = 0;
    std::vector<request_print> requests;

    friend bool operator==(const death_notice&, const death_notice&) = default;
};

/// Field with a notice, on requests between proxies that carry nothing else.
inline constexpr std::string_view death_field = "trefoil-death";

std::string encode_notice(const death_notice& notice);
/// A notice without requests if the text is malformed.
death_notice decode_notice(std::string_view text);

/// When connections to the target are lost, one connection is tried: if the target takes none, it
/// has died with everything that was lost since shortly before. Requests that were lost while the
/// target lives are not suspected.
class crash_watch {
public:
    /// Told the notice of each death of the own target.
    using death_handler = std::function<void(const death_notice&)>;

    crash_watch(uv_loop_s* loop, endpoint target, std::uint64_t seed, death_handler on_death);

    /// A request's connection to the target was lost.
    void lost(request_print request);
    void completed(request_print request);

    /// Takes in a notice of this or another node.
    void hear(const death_notice& notice);

    bool is_blocked(request_print request) const;

private:
    void look();
    void decide(bool is_alive);
    time_point now() const;

    uv_loop_s* loop_;
    endpoint target_;
    std::uint64_t next_death_;
    death_handler on_death_;
    crash_record record_;
    std::vector<request_print> lost_;
    /// Waits for further losses of the same death before looking.
    http1::loop_timer timer_;
    std::unique_ptr<http1::tcp_stream> trial_;
};

} // namespace trefoil
