// What the parts of the core share.
#pragma once

#include <optional>

#include <trefoil/admission/admission.hpp>
#include <trefoil/admission/chain_levels.hpp>
#include <trefoil/base/random.hpp>
#include <trefoil/core/node_core.hpp>
#include <trefoil/membership/leaving_news.hpp>
#include <trefoil/quarantine/quarantine.hpp>
#include <trefoil/retry/retry_ledger.hpp>
#include <trefoil/routing/load_reporter.hpp>
#include <trefoil/routing/router.hpp>

#include "pause_guard.hpp"

namespace trefoil {

/// State and output of one core. The parts keep their own calls and share the rest through this.
struct core_state {
    explicit core_state(core_settings given)
        : settings(std::move(given)), admitter(settings.admission),
          chain(settings.admission.recovery_speed),
          gate(settings.quarantine, settings.incarnation.value),
          route({settings.domain, settings.region}, settings.routing), ledger(settings.lends),
          budget(settings.retry_budget), random(settings.seed) {}

    core_settings settings;
    time_point now;
    actions out;

    std::optional<table> current;
    membership members;
    leaving_news leaving;
    pause_guard pause;
    admission admitter;
    heard_levels chain;
    quarantine gate;
    router route;
    load_reporter load_reports;
    retry_ledger ledger;
    retry_budget budget;
    call_metrics metrics;
    random_source random;

    bool target_is_up = true;
    bool stop_was_requested = false;

    attempt_id next_attempt() { return {++last_attempt}; }

    bool is_leaving() const { return stop_was_requested || members.is_leaving(settings.self); }

    /// When this instance was first known to leave.
    std::optional<time_point> leaving_since;

    /// Calls that waited when a stop was asked for are still handed to the target for this time.
    static constexpr duration waiting_grace = 2s;

    /// True once no waiting call may be handed to the target. The list lags, so that a listed
    /// instance has had its time already.
    bool must_refuse_waiting() const {
        const auto grace = stop_was_requested ? waiting_grace : duration{0};
        return leaving_since && now >= *leaving_since + grace;
    }

    /// Routes no more calls to the run of the instance. True if that is news.
    bool announce_leaving(const instance_id& instance, incarnation_id run) {
        if (instance == settings.self || members.find(instance) == nullptr) {
            return false;
        }
        members.announce_leaving(instance);
        return leaving.hear(now, instance, run);
    }

    /// When a call that is read now has to be assumed to have arrived.
    time_point arrival() const { return pause.arrival(now); }

    void log(log_event event, std::vector<std::pair<std::string, std::string>> fields) {
        out.emplace_back(write_record{{event, std::move(fields)}});
    }

    std::uint64_t last_attempt = 0;
    /// Calls in flight at the target that ended without an answer since the last look: what the
    /// target called for them is no longer wanted.
    std::vector<call_id> lost_parents;
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
