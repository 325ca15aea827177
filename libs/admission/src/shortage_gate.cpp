#include <trefoil/admission/shortage_gate.hpp>

#include <algorithm>
#include <utility>

namespace trefoil {
namespace {

/// See admission_settings: how soon refused demand is tried again.
constexpr double recovery_speed = 0.6;

/// Share of the service time of all slots that the admitted requests are to fill. The rest absorbs
/// the variation of their calls, which must not be refused.
constexpr double full_share = 0.95;
/// Calls of one request that are assumed to meet the same queue one after the other. The queueing
/// time that admission_level tolerates is that of a target which a request calls once.
constexpr std::uint32_t calls_in_sequence = 2;

} // namespace

std::uint32_t shared_queue_position(std::uint32_t priority) {
    return std::min(priority, 1U) * positions_per_priority;
}

shortage_gate::shortage_gate(service_name service)
    : service_(std::move(service)), level_(recovery_speed) {}

void shortage_gate::offered(std::uint32_t shedding_position) {
    level_.offered(shedding_position);
}

void shortage_gate::finished(duration service_time) {
    // A longer service time leaves the share of a slot, also where there are few slots.
    level_.finished(from_seconds(to_seconds(service_time) / full_share));
}

void shortage_gate::update(time_point now, const load_report& load) {
    level_.update(now, {load.in_flight, load.queued * calls_in_sequence, std::max(load.limit, 1U)});
}

bool shortage_gate::admits(std::uint32_t shedding_position) const {
    return shedding_position < level_.threshold();
}

std::optional<shortage_level>
shortage_gate::tell(time_point now, bool is_nested, duration spent,
                    const std::optional<shortage_level>& heard) const {
    std::optional<shortage_level> told;
    if (heard) {
        told = levels_.level_of(now, heard->service)
                   .value_or(shortage_level{heard->service, admit_all, duration{0}});
        told->spent = heard->spent;
    }
    if (level_.threshold() >= admit_all) {
        return told;
    }
    const shortage_level own{service_, is_nested ? level_.threshold() : admit_all, spent};
    return told && told->threshold <= own.threshold ? told : own;
}

void add_shortage(std::optional<shortage_level>& sum, const shortage_level& told) {
    if (!sum) {
        sum = told;
        return;
    }
    if (sum->service == told.service) {
        sum->threshold = std::min(sum->threshold, told.threshold);
        sum->spent += told.spent;
    } else if (told.threshold < sum->threshold) {
        sum = told;
    }
}

} // namespace trefoil
