#include <trefoil/telemetry/call_metrics.hpp>

namespace trefoil {
namespace {

constexpr int first_error_status = 400;

} // namespace

void record_call_result(kind_metrics& metrics, const answer_info& info, int status,
                        duration elapsed) {
    switch (info.result) {
    case outcome::completed:
        ++metrics.completed;
        metrics.succeeded += status < first_error_status ? 1 : 0;
        metrics.latency.record(elapsed);
        break;
    case outcome::not_run:
        ++metrics.not_run;
        break;
    case outcome::unknown:
        ++metrics.unknown;
        break;
    }
    if (info.reason != refusal::none) {
        ++metrics.refused[static_cast<std::size_t>(info.reason)];
    }
}

} // namespace trefoil
