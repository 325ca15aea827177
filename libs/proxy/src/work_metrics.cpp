#include "work_metrics.hpp"

#include <fmt/format.h>

namespace trefoil {
namespace {

std::string gauge(std::string_view name) {
    return fmt::format("# TYPE {} gauge\n", name);
}

std::string local_target_text(const proxy_state& state, const target_backlog& backlog) {
    const auto now = state.now();
    auto out = gauge("trefoil_target_backlog_seconds") +
               fmt::format("trefoil_target_backlog_seconds{{calls=\"waiting\"}} {}\n"
                           "trefoil_target_backlog_seconds{{calls=\"running\"}} {}\n",
                           to_seconds(backlog.waiting()), to_seconds(backlog.running(now)));
    out += gauge("trefoil_target_service_seconds");
    backlog.estimator().visit(now, [&](const std::string& route, duration expected) {
        out += fmt::format("trefoil_target_service_seconds{{route=\"{}\"}} {}\n", route,
                           to_seconds(expected));
    });
    if (const auto* local = state.directory.at_address(state.settings.target)) {
        out += gauge("trefoil_target_speed") +
               fmt::format("trefoil_target_speed {}\n",
                           state.placer.by_completion().speed(now, local->service, local->id));
    }
    return out;
}

} // namespace

std::string work_metrics_text(const proxy_state& state) {
    std::string out;
    if (const auto* backlog = state.dispatcher.backlog()) {
        out += local_target_text(state, *backlog);
    }
    std::string works;
    const auto& placed = state.placer.by_completion();
    placed.visit_work(state.now(), [&](const service_name& service, const std::string& route,
                                       duration expected) {
        works += fmt::format("trefoil_expected_work_seconds{{service=\"{}\",route=\"{}\"}} {}\n",
                             service.str(), route, to_seconds(expected));
    });
    if (works.empty()) {
        return out;
    }
    const auto& crossed = placed.crossings();
    return out + gauge("trefoil_expected_work_seconds") + works +
           fmt::format("# TYPE trefoil_crossings_total counter\n"
                       "trefoil_crossings_total{{reason=\"with_room\"}} {}\n"
                       "trefoil_crossings_total{{reason=\"lack_of_room\"}} {}\n"
                       "trefoil_crossings_total{{reason=\"no_instance\"}} {}\n",
                       crossed.with_room, crossed.lack_of_room, crossed.no_instance);
}

} // namespace trefoil
