#include <trefoil/experiment/experiment.hpp>

#include <unordered_map>

#include <fmt/format.h>
#include <trefoil/base/overloaded.hpp>

#include "load_source.hpp"
#include "oracle.hpp"

namespace trefoil {
namespace {

constexpr retry_budget_settings unbounded_budget{1e6, 1e6, 1e9};
/// Fraction of calls that may leave a service's home tier if spill is not bounded.
constexpr double unbounded_spill = 1000;
/// Time for tables and instance lists to reach every node before callers start.
constexpr duration settling_time = 3s;
/// Fractions of the run at which the trigger starts and ends.
constexpr double trigger_start_fraction = 0.25;
constexpr double trigger_end_fraction = 0.60;
/// Retries that each layer of the application makes under policy none.
constexpr std::uint32_t unprotected_retries = 3;
/// Retries of a table row under policy none; the maximum that a table may contain.
constexpr std::uint32_t unbounded_retries = 100;
/// Recovery is evaluated over the requests sent within a window of this length.
constexpr duration recovery_window = 500ms;
constexpr duration recovery_step = 100ms;
/// The service has recovered only if all windows of this period are normal.
constexpr duration recovery_confirmation_time = 1500ms;
/// Fraction of requests that must complete for the service to count as normal.
constexpr double normal_completion_fraction = 0.95;
/// Overload shorter than this may shed requests out of priority order.
constexpr duration inversion_grace_period = 1s;
/// Warm-up period of targets after a start.
constexpr duration cold_time = 1s;

duration fraction_of(duration total, double fraction) {
    return duration(static_cast<duration::rep>(static_cast<double>(total.count()) * fraction));
}

/// One run of a fleet, with the data that its observers collect.
class experiment_run {
public:
    explicit experiment_run(const experiment_plan& plan)
        : plan_(plan), site_(*find_site(plan.site)),
          fleet_(
              site_.network,
              [this](const service_name& service, const std::string& path) {
                  return work_at(site_, service, path);
              },
              plan.seed) {}

    experiment_result run() {
        build_fleet();
        load_source load(fleet_, site_, {plan_.clients_retry, plan_.crash_every, plan_.seed + 1});
        clock().run_until(clock().now() + settling_time);
        observe_fleet();
        const auto begin = clock().now();
        trigger_start_ = begin + fraction_of(plan_.length, trigger_start_fraction);
        trigger_end_ = begin + fraction_of(plan_.length, trigger_end_fraction);
        load.set_rate(site_.normal_rate);
        clock().run_until(trigger_start_);
        set_trigger(true);
        load.set_rate(site_.normal_rate * plan_.surge);
        run_trigger();
        set_trigger(false);
        load.set_rate(site_.normal_rate);
        clock().run_until(begin + plan_.length);
        load.stop();
        clock().run_until(clock().now() + longest_deadline() * (plan_.clients_retry + 1) + 1s);
        return evaluate(load.requests());
    }

private:
    using call_counts = std::map<std::string, std::uint64_t>;
    struct kind_counts {
        std::uint64_t refused = 0;
        std::uint64_t target_attempts = 0;
    };

    scheduler& clock() { return fleet_.clock(); }

    void build_fleet() {
        std::uint16_t port = 1;
        for (const auto& service : site_.services) {
            for (const auto& domain : site_.domains) {
                fleet_.add(make_member(service, domain, port++));
            }
        }
        fleet_.publish(document_id::table, table_text(published_site()));
        fleet_.publish_members();
    }

    // Under policy none, nodes do not limit retries by the applications, even of requests that must
    // not be retried.
    site published_site() const {
        auto published = site_;
        if (plan_.policy == experiment_policy::none) {
            for (auto& kind : published.kinds) {
                kind.row.retries = unbounded_retries;
                kind.row.once = false;
            }
        }
        return published;
    }

    fleet_member make_member(const site_service& service, const std::string& domain,
                             std::uint16_t port) const {
        fleet_member member;
        member.core.self = instance_id(fmt::format("{}-{}", service.name.str(), domain));
        member.core.service = service.name;
        member.core.domain = domain_name(domain);
        member.core.region = region_name(site_.name);
        member.core.peer_address = {"127.0.0.1", port};
        member.core.admission.slots = service.slots;
        member.core.admission.connections = service.connections;
        member.core.admission.policy = policy();
        member.core.admission.recovery_speed = plan_.recovery_speed;
        const bool is_full = plan_.policy == experiment_policy::full;
        member.core.routing.is_ejection_enabled = is_full && plan_.ejection;
        member.core.routing.spill_share =
            is_full && plan_.spill_bound ? routing_settings{}.spill_share : unbounded_spill;
        member.core.quarantine.is_enabled = is_full && plan_.quarantine;
        if (plan_.policy == experiment_policy::none) {
            member.core.node_retries_enabled = false;
            member.core.retry_budget = unbounded_budget;
        }
        member.target.slots = service.slots;
        member.target.backlog = service.connections - service.slots;
        member.target.cold_time = cold_time;
        member.target.accepts_cancel = true;
        member.target.app_retries =
            plan_.policy == experiment_policy::none ? unprotected_retries : plan_.app_retry;
        return member;
    }

    admission_policy policy() const {
        switch (plan_.policy) {
        case experiment_policy::none:
            return unlimited_admission;
        case experiment_policy::fixed:
            return fixed_admission;
        case experiment_policy::full:
            return plan_.parts;
        }
        return plan_.parts;
    }

    void observe_fleet() {
        fleet_.observe_runs([this](const instance_id& instance, const http_request& request,
                                   const call_context& context) {
            ++runs_[context.request][fmt::format("{} {}", service_of(instance), request.path)];
        });
        fleet_.observe_actions([this](const instance_id& instance, const action& what) {
            const auto* attempt = std::get_if<start_attempt>(&what);
            if (attempt != nullptr && std::holds_alternative<target_destination>(attempt->to)) {
                ++target_attempts_[instance][attempt->context->kind];
            }
        });
        for (const auto& instance : fleet_.instances()) {
            fleet_.target(instance).observe_work(
                [this](const http_request& request, duration held) {
                    slot_time_[request.body] += held;
                });
        }
    }

    static std::string service_of(const instance_id& instance) {
        return instance.str().substr(0, instance.str().find('-'));
    }

    void set_trigger(bool is_on) {
        for (const auto& instance : fleet_.instances()) {
            const auto factor = plan_.slow.find(service_of(instance));
            if (factor != plan_.slow.end()) {
                fleet_.target(instance).set_slowness(is_on ? factor->second : 1.0);
            }
        }
        for (const auto& domain : site_.domains) {
            if (!plan_.cut.empty() && domain != plan_.cut) {
                is_on ? fleet_.cut(plan_.cut, domain) : fleet_.heal(plan_.cut, domain);
            }
        }
        if (!plan_.cut.empty()) {
            is_on ? fleet_.cut(plan_.cut, virtual_fleet::platform_domain)
                  : fleet_.heal(plan_.cut, virtual_fleet::platform_domain);
        }
        if (plan_.platform_down) {
            fleet_.set_platform(is_on ? platform_mode::down : platform_mode::serving);
        }
    }

    void run_trigger() {
        clock().run_until(trigger_start_ + inversion_grace_period);
        count_inversions();
        inversions_ = 0;
        while (clock().now() + 1s <= trigger_end_) {
            clock().run_until(clock().now() + 1s);
            count_inversions();
        }
        clock().run_until(trigger_end_);
    }

    void count_inversions() {
        for (const auto& instance : fleet_.instances()) {
            if (!fleet_.is_running(instance)) {
                continue;
            }
            const auto& legs = fleet_.core(instance).metrics().local_calls;
            bool refused_protected = false;
            bool ran_shed_first = false;
            for (const auto& kind : site_.kinds) {
                auto& before = previous_counts_[instance][kind.row.kind];
                const auto found = legs.find(kind.row.kind);
                const kind_counts now{found == legs.end() ? 0 : refused_for_load(found->second),
                                      target_attempts_[instance][kind.row.kind]};
                refused_protected |= kind.is_protected && now.refused > before.refused;
                ran_shed_first |=
                    kind.is_shed_first && now.target_attempts > before.target_attempts;
                before = now;
            }
            inversions_ += refused_protected && ran_shed_first ? 1 : 0;
        }
    }

    static std::uint64_t refused_for_load(const kind_metrics& metrics) {
        const auto count = [&](refusal reason) {
            return metrics.refused[static_cast<std::size_t>(reason)];
        };
        return count(refusal::overload) + count(refusal::level) + count(refusal::chain_level);
    }

    duration longest_deadline() const {
        duration longest{0};
        for (const auto& kind : site_.kinds) {
            longest = std::max(longest, kind.row.deadline);
        }
        return longest;
    }

    bool is_in_trigger(time_point at) const { return at >= trigger_start_ && at < trigger_end_; }

    experiment_result evaluate(const std::deque<caller_request>& requests) {
        experiment_result result;
        result.policy = plan_.policy;
        result.seed = plan_.seed;
        for (const auto& kind : site_.kinds) {
            result.kinds.push_back({kind.row.kind, 0, 0, 0, 0, 0});
        }
        std::uint64_t completed = 0;
        std::uint64_t completed_in_trigger = 0;
        double weight = 0;
        std::vector<std::uint64_t> offered(site_.kinds.size());
        for (const auto& request : requests) {
            const bool is_completed = request.status == request_status::completed;
            count_result(result.kinds[request.kind], request.status);
            completed += is_completed ? 1 : 0;
            if (is_completed && is_in_trigger(request.ended)) {
                ++completed_in_trigger;
                weight += site_.kinds[request.kind].row.weight;
            }
            const bool can_complete = !request.path.ends_with("/crash");
            offered[request.kind] += can_complete && is_in_trigger(request.sent) ? 1 : 0;
        }
        const double trigger_time = to_seconds(trigger_end_ - trigger_start_);
        result.goodput = static_cast<double>(completed) / to_seconds(plan_.length);
        result.trigger_goodput = static_cast<double>(completed_in_trigger) / trigger_time;
        result.weighted_goodput = weight / trigger_time;
        result.optimal_goodput =
            max_completed_weight(site_, plan_.slow, offered, trigger_end_ - trigger_start_) /
            trigger_time;
        result.recovery = recovery_of(requests);
        result.wasted_work = wasted_work(requests);
        count_retries(result, requests.size());
        result.inversions = inversions_;
        return result;
    }

    static void count_result(kind_result& kind, request_status status) {
        ++kind.offered;
        switch (status) {
        case request_status::completed:
            ++kind.completed;
            break;
        case request_status::refused:
            ++kind.refused;
            break;
        case request_status::failed:
            ++kind.failed;
            break;
        case request_status::open:
        case request_status::unknown:
            ++kind.unknown;
            break;
        }
    }

    std::optional<duration> recovery_of(const std::deque<caller_request>& requests) const {
        const auto last = requests.back().sent - recovery_window;
        std::optional<time_point> since;
        for (auto at = trigger_end_; at <= last; at += recovery_step) {
            if (!is_normal(requests, at)) {
                since.reset();
            } else if (!since) {
                since = at;
            }
            if (since && at - *since >= recovery_confirmation_time) {
                break;
            }
        }
        if (!since || last - *since < recovery_confirmation_time) {
            return std::nullopt;
        }
        return *since - trigger_end_;
    }

    static bool is_normal(const std::deque<caller_request>& requests, time_point from) {
        const auto first =
            std::lower_bound(requests.begin(), requests.end(), from,
                             [](const caller_request& r, time_point at) { return r.sent < at; });
        std::uint64_t sent = 0;
        std::uint64_t completed = 0;
        for (auto at = first; at != requests.end() && at->sent < from + recovery_window; ++at) {
            ++sent;
            completed += at->status == request_status::completed ? 1 : 0;
        }
        return static_cast<double>(completed) >=
               normal_completion_fraction * static_cast<double>(sent);
    }

    double wasted_work(const std::deque<caller_request>& requests) const {
        duration all{0};
        duration useful{0};
        for (const auto& request : requests) {
            const auto found = slot_time_.find(request.body);
            const auto held = found == slot_time_.end() ? 0us : found->second;
            all += held;
            useful += request.status == request_status::completed ? held : 0us;
        }
        return all > 0us ? 1.0 - to_seconds(useful) / to_seconds(all) : 0;
    }

    /// Returns the number of runs beyond those that the runs of the calling targets require. The
    /// caller's request requires one run.
    std::uint64_t retries_of(const call_counts& runs) const {
        call_counts required;
        for (const auto& [call, count] : runs) {
            const auto space = call.find(' ');
            const service_name service(call.substr(0, space));
            for (const auto& child : work_at(site_, service, call.substr(space + 1)).children) {
                required[child.service.str() + " " + child.path] += count;
            }
        }
        std::uint64_t retries = 0;
        for (const auto& [call, count] : runs) {
            const auto found = required.find(call);
            const auto expected = found == required.end() ? 1 : found->second;
            retries += count > expected ? count - expected : 0;
        }
        return retries;
    }

    void count_retries(experiment_result& result, std::size_t requests) const {
        std::uint64_t total = 0;
        for (const auto& [request, runs] : runs_) {
            const auto retries = retries_of(runs);
            total += retries;
            result.max_retries = std::max(result.max_retries, retries);
        }
        result.mean_retries =
            requests > 0 ? static_cast<double>(total) / static_cast<double>(requests) : 0;
    }

    const experiment_plan& plan_;
    site site_;
    virtual_fleet fleet_;
    time_point trigger_start_;
    time_point trigger_end_;
    std::uint64_t inversions_ = 0;
    std::unordered_map<request_id, call_counts> runs_;
    std::unordered_map<std::string, duration> slot_time_;
    std::map<instance_id, std::map<std::string, std::uint64_t>> target_attempts_;
    std::map<instance_id, std::map<std::string, kind_counts>> previous_counts_;
};

} // namespace

std::string_view name_of(experiment_policy policy) {
    switch (policy) {
    case experiment_policy::none:
        return "none";
    case experiment_policy::fixed:
        return "static";
    case experiment_policy::full:
        return "full";
    }
    return "full";
}

std::optional<site> find_site(const std::string& name) {
    for (auto candidate : {kigali_site(), keurwoning_site()}) {
        if (candidate.name == name) {
            return candidate;
        }
    }
    return std::nullopt;
}

experiment_result run_experiment(const experiment_plan& plan) {
    return experiment_run(plan).run();
}

} // namespace trefoil
