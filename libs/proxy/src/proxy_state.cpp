#include "proxy_state.hpp"

#include <set>

#include <fmt/format.h>
#include <unistd.h>

#include <trefoil/http1/loop_timer.hpp>
namespace trefoil {
namespace {

constexpr log_rates rates{};
/// Kept connections to each other node. Its idle timeout is longer than this one.
constexpr http1::client_limits peer_limits{32, std::chrono::milliseconds(30'000)};

} // namespace

proxy_state::proxy_state(uv_loop_s* its_loop, proxy_settings its_settings, std::uint64_t seed)
    : loop(its_loop), settings(std::move(its_settings)), log(STDOUT_FILENO, rates),
      places(settings.domain, seed), repeats(settings.repeats), rotation(seed),
      peers(its_loop, peer_limits), crashes(its_loop, settings.target, seed,
                                            [this](const death_notice& notice) { spread(notice); }),
      gate(its_loop, settings.target, settings.fields, crashes), random(seed + 1) {}

time_point proxy_state::now() const {
    return http1::loop_time(loop);
}

void proxy_state::spread(const death_notice& notice) {
    note(log_class::state, [&] {
        return log_record{log_event::target_down,
                          {{"death", fmt::format("{:x}", notice.death)},
                           {"requests", std::to_string(notice.requests.size())}}};
    });
    http1::request_head head;
    head.method = "POST";
    head.target = "/";
    head.headers = {{std::string(death_field), encode_notice(notice)}};
    std::set<std::string> told = {settings.target.ip};
    for (const auto& ip : directory.ips()) {
        if (!told.insert(ip).second) {
            continue;
        }
        const auto number = next_notice++;
        notices[number] =
            peers.start({ip, settings.peer_listener.port}, head, {}, true, {},
                        [this, number](const http1::exchange_event& event) {
                            const bool is_over =
                                std::holds_alternative<http1::message_end>(event) ||
                                std::holds_alternative<http1::exchange_failure>(event);
                            if (is_over) {
                                notices.erase(number);
                            }
                        });
    }
}

} // namespace trefoil
