#include <trefoil/experiment/experiment.hpp>

#include <fmt/format.h>

namespace trefoil {
namespace {

std::string recovery_text(const experiment_result& result, std::string_view not_recovered) {
    return result.recovery ? fmt::format("{:.1f}", to_seconds(*result.recovery))
                           : std::string(not_recovered);
}

std::string kind_json(const kind_result& kind) {
    return fmt::format(R"({{"kind":"{}","offered":{},"completed":{},"refused":{},"failed":{},)"
                       R"("unknown":{}}})",
                       kind.kind, kind.offered, kind.completed, kind.refused, kind.failed,
                       kind.unknown);
}

std::string result_json(const experiment_result& result) {
    std::string kinds;
    for (const auto& kind : result.kinds) {
        kinds += (kinds.empty() ? "" : ",") + kind_json(kind);
    }
    return fmt::format(
        R"({{"policy":"{}","seed":{},"goodput":{:.1f},"trigger_goodput":{:.1f},)"
        R"("weighted_goodput":{:.1f},"oracle":{:.1f},"ratio":{:.3f},"recovery_seconds":{},)"
        R"("wasted_work":{:.4f},"max_retries":{},"mean_retries":{:.4f},"inversions":{},)"
        R"("kinds":[{}]}})",
        name_of(result.policy), result.seed, result.goodput, result.trigger_goodput,
        result.weighted_goodput, result.optimal_goodput, result.ratio(),
        recovery_text(result, "null"), result.wasted_work, result.max_retries, result.mean_retries,
        result.inversions, kinds);
}

} // namespace

std::string format_text(const experiment_plan& plan,
                        const std::vector<experiment_result>& results) {
    std::string text = fmt::format("site {}, {:.0f} s\n", plan.site, to_seconds(plan.length));
    text += "policy  seed  goodput  in trigger  weighted  oracle  ratio  recovery s  wasted  "
            "retries max  mean  inversions\n";
    for (const auto& r : results) {
        text +=
            fmt::format("{:<6}  {:>4}  {:>7.1f}  {:>10.1f}  {:>8.1f}  {:>6.0f}  {:>5.3f}  "
                        "{:>10}  {:>5.1f}%  {:>11}  {:>4.2f}  {:>10}\n",
                        name_of(r.policy), r.seed, r.goodput, r.trigger_goodput, r.weighted_goodput,
                        r.optimal_goodput, r.ratio(), recovery_text(r, "never"),
                        r.wasted_work * 100, r.max_retries, r.mean_retries, r.inversions);
    }
    return text;
}

std::string format_json(const experiment_plan& plan,
                        const std::vector<experiment_result>& results) {
    std::string all;
    for (const auto& result : results) {
        all += (all.empty() ? "" : ",\n") + result_json(result);
    }
    return fmt::format("{{\"site\":\"{}\",\"seconds\":{:.0f},\"results\":[\n{}\n]}}\n", plan.site,
                       to_seconds(plan.length), all);
}

} // namespace trefoil
