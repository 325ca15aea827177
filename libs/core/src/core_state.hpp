// State shared by the parts of the core.
#pragma once

#include <optional>

#include <trefoil/admission/admission.hpp>
#include <trefoil/admission/chain_levels.hpp>
#include <trefoil/base/random.hpp>
#include <trefoil/core/node_core.hpp>
#include <trefoil/membership/leaving_announcements.hpp>
#include <trefoil/quarantine/quarantine.hpp>
#include <trefoil/retry/retry_ledger.hpp>
#include <trefoil/routing/load_reporter.hpp>
#include <trefoil/routing/router.hpp>

#include "pause_guard.hpp"

namespace trefoil {

/// State and pending actions of one core. Each part keeps its own calls; everything else that more
/// than one part uses is here.
struct core_state {
    explicit core_state(core_settings given)
        : settings(std::move(given)), admission_control(settings.admission),
          downstream(settings.admission.recovery_speed),
          request_quarantine(settings.quarantine, settings.incarnation.value),
          request_router({settings.domain, settings.region}, settings.routing),
          ledger(settings.retry_token_share), budget(settings.retry_budget), random(settings.seed) {
    }

    core_settings settings;
    time_point now;
    actions pending_actions;

    std::optional<table> table_in_force;
    membership members;
    leaving_announcements announcements;
    pause_guard pause;
    admission admission_control;
    downstream_levels downstream;
    quarantine request_quarantine;
    router request_router;
    load_reporter load_reports;
    retry_ledger ledger;
    retry_budget budget;
    call_metrics metrics;
    random_source random;

    bool target_is_up = true;
    bool stop_was_requested = false;

    attempt_id next_attempt() { return {++last_attempt}; }

    bool is_leaving() const { return stop_was_requested || members.is_leaving(settings.self); }

    /// Time from which this instance is known to be leaving.
    std::optional<time_point> leaving_since;

    /// Time after a stop request during which queued calls are still dispatched to the target.
    static constexpr duration queue_drain_grace = 2s;

    /// True once no queued call may be dispatched to the target. An instance that is listed as
    /// leaving gets no grace period: the list lags, so the period has already passed.
    bool must_refuse_queued() const {
        const auto grace = stop_was_requested ? queue_drain_grace : duration{0};
        return leaving_since && now >= *leaving_since + grace;
    }

    /// Excludes an instance from routing because the given incarnation of it announced that it is
    /// leaving. Returns true if the announcement is new.
    bool record_leaving(const instance_id& instance, incarnation_id incarnation) {
        if (instance == settings.self || members.find(instance) == nullptr) {
            return false;
        }
        members.announce_leaving(instance);
        return announcements.record(now, instance, incarnation);
    }

    /// The time at which a call that is read now must be assumed to have arrived.
    time_point arrival_time() const { return pause.arrival_time(now); }

    void log(log_event event, std::vector<std::pair<std::string, std::string>> fields) {
        pending_actions.emplace_back(write_log_record{{event, std::move(fields)}});
    }

    std::uint64_t last_attempt = 0;
    /// Calls in flight at the target that ended without an answer and whose child calls have not
    /// been cancelled yet.
    std::vector<call_id> aborted_parents;
};

/// Answer information of a refusal before any target ran any part of the call.
inline answer_info make_refusal(refusal reason, std::uint32_t unused_tokens, incarnation_id self) {
    answer_info info;
    info.result = outcome::not_run;
    info.reason = reason;
    info.unused_tokens = unused_tokens;
    info.incarnation = self;
    return info;
}

} // namespace trefoil
