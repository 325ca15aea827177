#include "platform_reads.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace trefoil {
namespace {

/// How long the platform holds a read while there is no newer version.
constexpr duration read_wait = 5s;
/// Minimum time between two reads of a node; the next read returns all changes made in between.
constexpr duration min_read_interval = 250ms;
constexpr duration first_retry_delay = 500ms;
constexpr duration max_retry_delay = 5s;
/// A refused text is read again after this time. The delay doubles with each further refusal of the
/// same text, up to the maximum.
constexpr duration first_reread_delay = 4s;
constexpr duration max_reread_delay = 15s;
/// Time without confirmation after which the first standby reads; each further standby waits one
/// step longer.
constexpr duration standby_after = 8s;
constexpr duration standby_step = 2s;
/// Time without confirmation after which any node reads.
constexpr duration isolated_after = 60s;
/// Minimum of the mean time between the reads of a node that is off duty.
constexpr duration min_off_duty_interval = 500ms;

/// Returns the mean time between the reads of one off-duty node, so that the given number of nodes
/// together stay below off_duty_share.
duration off_duty_interval(std::size_t nodes) {
    const auto documents = static_cast<double>(std::size(all_documents));
    const auto seconds =
        static_cast<double>(nodes) * documents / (platform_calls_per_second * off_duty_share);
    return std::max(min_off_duty_interval, duration(static_cast<duration::rep>(seconds * 1e6)));
}

/// True if the node holds a document and is a reader or a standby. Every node that holds a document
/// is on duty if reads are not shared.
bool is_on_duty(const read_conditions& conditions) {
    return conditions.held.value > 0 &&
           (!conditions.shared_reads || conditions.rank < readers_per_domain + standbys_per_domain);
}

} // namespace

void platform_read_scheduler::start(time_point now, std::size_t nodes) {
    const auto spread = off_duty_interval(nodes);
    const bool is_small_fleet = spread <= min_off_duty_interval;
    const auto width = is_small_fleet ? spread / 10 : spread;
    not_before_ =
        now +
        duration(static_cast<duration::rep>(random_.unit() * static_cast<double>(width.count())));
}

std::optional<time_point> platform_read_scheduler::due(const read_conditions& conditions) const {
    if (is_in_flight_) {
        return std::nullopt;
    }
    if (conditions.held.value == 0 || !conditions.shared_reads ||
        conditions.rank < readers_per_domain) {
        return not_before_;
    }
    auto silence = isolated_after;
    if (conditions.rank < readers_per_domain + standbys_per_domain) {
        const auto standby_index = static_cast<duration::rep>(conditions.rank - readers_per_domain);
        silence = standby_after + standby_index * standby_step;
    }
    return std::max(not_before_, conditions.confirmed_at + silence);
}

platform_read platform_read_scheduler::start_read(time_point now,
                                                  const read_conditions& conditions) {
    is_in_flight_ = true;
    if (refused_ && now < reread_at_) {
        return {document_, std::max(conditions.held, refused_->at),
                std::min(read_wait, reread_at_ - now)};
    }
    const bool waits = is_on_duty(conditions) || conditions.held.value == 0;
    return {document_, conditions.held, waits ? read_wait : 0us};
}

bool platform_read_scheduler::on_answer(time_point now) {
    is_in_flight_ = false;
    retry_delay_ = 0us;
    not_before_ = now + min_read_interval;
    return std::exchange(is_down_, false);
}

bool platform_read_scheduler::on_failure(time_point now, const read_conditions& conditions) {
    is_in_flight_ = false;
    retry_delay_ = std::clamp(retry_delay_ * 2, first_retry_delay, max_retry_delay);
    const auto mean = is_on_duty(conditions) ? retry_delay_ : off_duty_interval(conditions.nodes);
    not_before_ = now + jittered(mean);
    return !std::exchange(is_down_, true);
}

void platform_read_scheduler::on_refused(time_point now, refused_text text) {
    reread_delay_ =
        refused_ == text ? std::min(reread_delay_ * 2, max_reread_delay) : first_reread_delay;
    refused_ = text;
    reread_at_ = now + reread_delay_;
}

duration platform_read_scheduler::jittered(duration mean) {
    return duration(
        static_cast<duration::rep>((0.5 + random_.unit()) * static_cast<double>(mean.count())));
}

} // namespace trefoil
