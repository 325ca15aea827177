#include "platform_reads.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace trefoil {
namespace {

/// How long a read waits at the platform for something newer.
constexpr duration read_wait = 5s;
/// Least time between two reads of one node; changes in between are read at once.
constexpr duration min_read_interval = 250ms;
constexpr duration first_retry_delay = 500ms;
constexpr duration max_retry_delay = 5s;
/// A refused text is read again after this time at first, later less often.
constexpr duration first_reread_delay = 4s;
constexpr duration max_reread_delay = 15s;
/// Silence after which the first standby reads; each further one waits a step longer.
constexpr duration standby_after = 8s;
constexpr duration standby_step = 2s;
/// Silence after which any node reads.
constexpr duration lost_after = 60s;
/// Least mean time between the reads of a node that is not on duty.
constexpr duration min_undutied_interval = 500ms;

/// Mean time between the reads of one node, so that this many stay below their share together.
duration undutied_interval(std::size_t nodes) {
    const auto documents = static_cast<double>(std::size(all_documents));
    const auto seconds =
        static_cast<double>(nodes) * documents / (platform_calls_per_second * undutied_share);
    return std::max(min_undutied_interval, duration(static_cast<duration::rep>(seconds * 1e6)));
}

bool is_on_duty(const read_situation& situation) {
    return situation.held.value > 0 &&
           (!situation.shared_reads || situation.rank < readers_per_domain + standbys_per_domain);
}

} // namespace

void platform_reads::start(time_point now, std::size_t nodes) {
    const auto spread = undutied_interval(nodes);
    const bool is_small = spread <= min_undutied_interval;
    const auto width = is_small ? spread / 10 : spread;
    not_before_ =
        now +
        duration(static_cast<duration::rep>(random_.unit() * static_cast<double>(width.count())));
}

std::optional<time_point> platform_reads::due(const read_situation& situation) const {
    if (is_open_) {
        return std::nullopt;
    }
    if (situation.held.value == 0 || !situation.shared_reads ||
        situation.rank < readers_per_domain) {
        return not_before_;
    }
    auto silence = lost_after;
    if (situation.rank < readers_per_domain + standbys_per_domain) {
        const auto turn = static_cast<duration::rep>(situation.rank - readers_per_domain);
        silence = standby_after + turn * standby_step;
    }
    return std::max(not_before_, situation.confirmed + silence);
}

platform_read platform_reads::open(time_point now, const read_situation& situation) {
    is_open_ = true;
    if (refused_ && now < reread_at_) {
        return {document_, std::max(situation.held, refused_->at),
                std::min(read_wait, reread_at_ - now)};
    }
    const bool waits = is_on_duty(situation) || situation.held.value == 0;
    return {document_, situation.held, waits ? read_wait : 0us};
}

bool platform_reads::answered(time_point now) {
    is_open_ = false;
    retry_delay_ = 0us;
    not_before_ = now + min_read_interval;
    return std::exchange(is_down_, false);
}

bool platform_reads::failed(time_point now, const read_situation& situation) {
    is_open_ = false;
    retry_delay_ = std::clamp(retry_delay_ * 2, first_retry_delay, max_retry_delay);
    const auto mean = is_on_duty(situation) ? retry_delay_ : undutied_interval(situation.nodes);
    not_before_ = now + jittered(mean);
    return !std::exchange(is_down_, true);
}

void platform_reads::refused(time_point now, refused_text what) {
    reread_delay_ =
        refused_ == what ? std::min(reread_delay_ * 2, max_reread_delay) : first_reread_delay;
    refused_ = what;
    reread_at_ = now + reread_delay_;
}

duration platform_reads::jittered(duration mean) {
    return duration(
        static_cast<duration::rep>((0.5 + random_.unit()) * static_cast<double>(mean.count())));
}

} // namespace trefoil
