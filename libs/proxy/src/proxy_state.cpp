#include "proxy_state.hpp"

#include <unistd.h>
#include <uv.h>

namespace trefoil {
namespace {

constexpr log_rates rates{};
/// Kept connections to each other node. Its idle timeout is longer than this one.
constexpr http1::client_limits peer_limits{32, std::chrono::milliseconds(30'000)};

} // namespace

proxy_state::proxy_state(uv_loop_s* its_loop, proxy_settings its_settings, std::uint64_t seed)
    : loop(its_loop), settings(std::move(its_settings)), log(STDOUT_FILENO, rates),
      places(settings.domain, seed), repeats(settings.repeats), rotation(seed),
      peers(its_loop, peer_limits), gate(its_loop, settings.target, settings.fields),
      random(seed + 1) {}

time_point proxy_state::now() const {
    return time_point(std::chrono::milliseconds(uv_now(loop)));
}

} // namespace trefoil
