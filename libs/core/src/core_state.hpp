// What the parts of the core share.
#pragma once

#include <optional>

#include <trefoil/admission/admission.hpp>
#include <trefoil/admission/chain_levels.hpp>
#include <trefoil/base/random.hpp>
#include <trefoil/core/node_core.hpp>
#include <trefoil/quarantine/quarantine.hpp>
#include <trefoil/retry/retry_ledger.hpp>
#include <trefoil/routing/load_reporter.hpp>
#include <trefoil/routing/router.hpp>

namespace trefoil {

/// State and output of one core. The parts keep their own calls and share the rest through this.
struct core_state {
    explicit core_state(core_settings given)
        : settings(std::move(given)), admitter(settings.admission),
          chain(settings.admission.recovery_speed),
          gate(settings.quarantine, settings.incarnation.value),
          route({settings.domain, settings.region}, settings.routing), random(settings.seed) {}

    core_settings settings;
    time_point now;
    actions out;

    std::optional<table> current;
    membership members;
    admission admitter;
    heard_levels chain;
    quarantine gate;
    router route;
    load_reporter load_reports;
    retry_ledger ledger;
    call_metrics metrics;
    random_source random;

    bool target_is_up = true;
    bool stop_was_requested = false;

    attempt_id next_attempt() { return {++last_attempt}; }

    bool is_leaving() const { return stop_was_requested || members.is_leaving(settings.self); }

    void log(log_event event, std::vector<std::pair<std::string, std::string>> fields) {
        out.emplace_back(write_record{{event, std::move(fields)}});
    }

    std::uint64_t last_attempt = 0;
};

/// A refusal before any target ran any part of the call.
inline answer_info refused(refusal reason, std::uint32_t unused_tokens, incarnation_id self) {
    answer_info info;
    info.result = outcome::not_run;
    info.reason = reason;
    info.unused_tokens = unused_tokens;
    info.incarnation = self;
    return info;
}

} // namespace trefoil
