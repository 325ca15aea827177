#include "oracle.hpp"

#include <algorithm>

namespace trefoil {
namespace {

/// Offered requests of one kind at one service.
struct demand {
    double count = 0;
    double weight = 0;
    /// Slot time of one request at the service.
    double seconds = 0;

    /// Weight per second of slot time; requests that do not use the service come first.
    double density() const { return seconds > 0 ? weight / seconds : 1e18; }
};

/// Solves the fractional knapsack: returns the greatest weight that fits into the capacity, given
/// in seconds of slot time.
double solve_knapsack(std::vector<demand> demands, double capacity) {
    std::sort(demands.begin(), demands.end(),
              [](const demand& a, const demand& b) { return a.density() > b.density(); });
    double total = 0;
    for (const auto& one : demands) {
        const double possible =
            one.seconds > 0 ? std::min(one.count, capacity / one.seconds) : one.count;
        total += possible * one.weight;
        capacity -= possible * one.seconds;
    }
    return total;
}

} // namespace

double max_completed_weight(const site& where, const slow_services& slow,
                            const std::vector<std::uint64_t>& offered, duration time) {
    std::vector<std::map<std::string, duration>> held(where.kinds.size());
    for (std::size_t i = 0; i < held.size(); ++i) {
        const auto& kind = where.kinds[i];
        add_holding_times(where, slow, service_name(kind.row.service), kind.path, held[i]);
    }
    double bound = -1;
    for (const auto& service : where.services) {
        std::vector<demand> demands;
        for (std::size_t i = 0; i < held.size(); ++i) {
            demands.push_back({static_cast<double>(offered[i]), where.kinds[i].row.weight,
                               to_seconds(held[i][service.name.str()])});
        }
        const auto slots = static_cast<double>(service.slots * where.domains.size());
        const double value = solve_knapsack(std::move(demands), slots * to_seconds(time));
        bound = bound < 0 ? value : std::min(bound, value);
    }
    return bound;
}

} // namespace trefoil
