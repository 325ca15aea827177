// Simulates an overloaded service deep in the call graph, with the admission control of its node
// and the downstream limiters of its callers' nodes, and checks the success rates of callers.
#include <doctest/doctest.h>

#include <functional>
#include <limits>
#include <map>
#include <vector>

#include <trefoil/admission/admission.hpp>
#include <trefoil/base/random.hpp>
#include <trefoil/traffic/call_tree.hpp>
#include <trefoil/traffic/downstream_limiter.hpp>

using namespace trefoil;

namespace {

constexpr std::uint32_t priority = 2;
constexpr std::uint32_t slots = 20;
constexpr int calls_each = 10;
constexpr duration call_service_time = 55ms;
constexpr duration own_service_time = 180ms;
constexpr duration call_max_wait = 180ms;
constexpr duration own_max_wait = 300ms;
constexpr duration request_timeout = 1200ms;

/// Started and successful requests of one kind.
struct kind_counts {
    int started = 0;
    int finished = 0;
};

/// A service deep in the call graph that serves both callers' own requests and the calls of whole
/// requests that start elsewhere. Each of these makes ten calls in sequence and fails with the
/// first refused one. Calls go ahead of callers' requests of the same priority, as at the target's
/// node.
class shared_bottleneck {
public:
    shared_bottleneck(bool has_congestion_marks, std::size_t upstream_nodes)
        : has_congestion_marks_(has_congestion_marks), admission_(settings()),
          levels_(upstream_nodes) {}

    void offer_whole_requests(double per_s) {
        arrive(per_s, [this] { start_whole(); });
    }
    void offer_own_requests(double per_s) {
        arrive(per_s, [this] { start_own(); });
    }

    void run_for(duration span) {
        const auto end = now_ + span;
        while (!events_.empty() && events_.begin()->first <= end) {
            now_ = events_.begin()->first;
            const auto event = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            event();
        }
        now_ = end;
    }

    kind_counts whole;
    kind_counts own;

private:
    using completion_handler = std::function<void(bool succeeds)>;

    struct pending_call {
        duration work{0};
        completion_handler done;
    };

    static admission_settings settings() {
        admission_settings made;
        made.slots = slots;
        made.connections = std::numeric_limits<std::uint32_t>::max();
        made.policy.level = false;
        made.policy.chain_level = false;
        made.policy.wait_refusal = true;
        return made;
    }

    void at(duration after, std::function<void()> event) {
        events_.emplace(now_ + after, std::move(event));
    }

    void arrive(double per_s, const std::function<void()>& begin) {
        const auto pause = duration(static_cast<duration::rep>(1e6 / per_s * 2 * random_.unit()));
        at(pause, [this, per_s, begin] {
            begin();
            arrive(per_s, begin);
        });
    }

    void start_whole() {
        ++whole.started;
        const auto request_bucket = static_cast<std::uint32_t>(random_.below(request_bucket_count));
        auto& level = levels_[random_.below(levels_.size())];
        if (!level.admits(now_, "whole", priority, request_bucket)) {
            return;
        }
        make_call(level, request_bucket, calls_each, false);
    }

    void make_call(downstream_limiter& level, std::uint32_t request_bucket, int left,
                   bool was_busy) {
        submit("call", request_bucket, call_max_wait, call_service_time,
               [=, this, &level](bool succeeds) {
                   if (!succeeds) {
                       level.note(now_, "whole", priority, downstream_congestion::refused);
                       return;
                   }
                   const bool is_busy =
                       has_congestion_marks_ && admission_.standing_position(now_).has_value();
                   if (left == 1) {
                       ++whole.finished;
                       level.note(now_, "whole", priority,
                                  was_busy || is_busy ? downstream_congestion::busy
                                                      : downstream_congestion::clear);
                       return;
                   }
                   make_call(level, request_bucket, left - 1, was_busy || is_busy);
               });
    }

    void start_own() {
        ++own.started;
        const auto request_bucket = static_cast<std::uint32_t>(random_.below(request_bucket_count));
        submit("own", request_bucket_count + request_bucket, own_max_wait, own_service_time,
               [this](bool succeeds) { own.finished += succeeds ? 1 : 0; });
    }

    void submit(const std::string& kind, std::uint32_t rank, duration max_wait, duration work,
                completion_handler done) {
        admission_request request;
        request.call = call_id{++last_call_};
        request.kind = kind;
        request.position = priority * positions_per_priority + rank;
        request.deadline = now_ + request_timeout;
        request.kind_limit = std::numeric_limits<std::uint32_t>::max();
        request.max_wait = max_wait;
        if (admission_.offer(now_, request) != refusal::none) {
            done(false);
            return;
        }
        waiting_.emplace(request.call, pending_call{work, std::move(done)});
        at(max_wait + 1ms, [this] { advance(); });
        advance();
    }

    void advance() {
        for (const auto& change : admission_.advance(now_)) {
            const auto entry = std::move(waiting_.at(change.call));
            waiting_.erase(change.call);
            if (change.reason != refusal::none) {
                entry.done(false);
                continue;
            }
            at(entry.work, [this, call = change.call, entry] {
                admission_.finished(now_, call, {entry.work, service_status::answered});
                entry.done(true);
                advance();
            });
        }
    }

    bool has_congestion_marks_;
    time_point now_{1000s};
    random_source random_{17};
    admission admission_;
    std::vector<downstream_limiter> levels_;
    std::multimap<time_point, std::function<void()>> events_;
    std::map<call_id, pending_call> waiting_;
    std::uint64_t last_call_ = 0;
};

shared_bottleneck simulate(bool has_congestion_marks, std::size_t upstream_nodes) {
    shared_bottleneck site(has_congestion_marks, upstream_nodes);
    site.offer_whole_requests(100);
    site.offer_own_requests(12);
    site.run_for(60s);
    return site;
}

double own_success_rate(const shared_bottleneck& site) {
    return static_cast<double>(site.own.finished) / site.own.started;
}

double total_success_rate(const shared_bottleneck& site) {
    return static_cast<double>(site.own.finished + site.whole.finished) /
           (site.own.started + site.whole.started);
}

} // namespace

// The whole requests need 55 slots and the own ones 2.2, of 20 in all. The more nodes the whole
// requests start at, the fewer samples each node has.
TEST_CASE("callers' own requests are not starved by the calls of more whole requests than fit") {
    for (const std::size_t upstream_nodes : {1, 4, 25}) {
        CAPTURE(upstream_nodes);
        const auto site = simulate(true, upstream_nodes);
        CHECK(own_success_rate(site) > 0.25 * total_success_rate(site));
        const double fitting = 60 * (slots - 2.2) / (calls_each * to_seconds(call_service_time));
        CHECK(site.whole.finished > 0.75 * fitting);
    }
}

TEST_CASE("without congestion marks, many nodes starve callers' own requests") {
    const auto site = simulate(false, 25);
    CHECK(own_success_rate(site) < 0.25 * total_success_rate(site));
}
