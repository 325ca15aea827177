// Plays a deep service that is short of room, with the admission of its node and the level of the
// nodes above, and checks what callers get.
#include <doctest/doctest.h>

#include <functional>
#include <limits>
#include <map>
#include <vector>

#include <trefoil/admission/admission.hpp>
#include <trefoil/base/random.hpp>
#include <trefoil/traffic/call_tree.hpp>
#include <trefoil/traffic/downstream_level.hpp>

using namespace trefoil;

namespace {

constexpr std::uint32_t priority = 2;
constexpr std::uint32_t slots = 20;
constexpr int calls_each = 10;
constexpr duration call_time = 55ms;
constexpr duration own_time = 180ms;
constexpr duration call_patience = 180ms;
constexpr duration own_patience = 300ms;
constexpr duration whole_time = 1200ms;

/// What became of the requests of one kind.
struct kind_counts {
    int begun = 0;
    int finished = 0;
};

/// A deep service at which callers' own requests meet the calls of whole requests that begin
/// elsewhere. Each of these makes ten calls, one after the other, and fails with the first that is
/// refused. Calls go ahead of callers' requests of the same priority, as at the gate.
class shared_bottleneck {
public:
    shared_bottleneck(bool has_marks, std::size_t nodes_above)
        : has_marks_(has_marks), gate_(settings()), levels_(nodes_above) {}

    void offer_whole_requests(double per_s) {
        arrive(per_s, [this] { begin_whole(); });
    }
    void offer_own_requests(double per_s) {
        arrive(per_s, [this] { begin_own(); });
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
    using done_handler = std::function<void(bool is_good)>;

    struct pending_call {
        duration work{0};
        done_handler done;
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

    void begin_whole() {
        ++whole.begun;
        const auto share = static_cast<std::uint32_t>(random_.below(share_count));
        auto& level = levels_[random_.below(levels_.size())];
        if (!level.admits(now_, "whole", priority, share)) {
            return;
        }
        make_call(level, share, calls_each, false);
    }

    void make_call(downstream_level& level, std::uint32_t share, int left, bool was_busy) {
        submit("call", share, call_patience, call_time, [=, this, &level](bool is_good) {
            if (!is_good) {
                level.note(now_, "whole", priority, room_below::refused);
                return;
            }
            const bool is_busy = has_marks_ && gate_.standing_position(now_).has_value();
            if (left == 1) {
                ++whole.finished;
                level.note(now_, "whole", priority,
                           was_busy || is_busy ? room_below::busy : room_below::clear);
                return;
            }
            make_call(level, share, left - 1, was_busy || is_busy);
        });
    }

    void begin_own() {
        ++own.begun;
        const auto share = static_cast<std::uint32_t>(random_.below(share_count));
        submit("own", share_count + share, own_patience, own_time,
               [this](bool is_good) { own.finished += is_good ? 1 : 0; });
    }

    void submit(const std::string& kind, std::uint32_t place, duration patience, duration work,
                done_handler done) {
        admission_request request;
        request.call = call_id{++last_call_};
        request.kind = kind;
        request.position = priority * positions_per_priority + place;
        request.deadline = now_ + whole_time;
        request.kind_limit = std::numeric_limits<std::uint32_t>::max();
        request.patience = patience;
        if (gate_.offer(now_, request) != refusal::none) {
            done(false);
            return;
        }
        waiting_.emplace(request.call, pending_call{work, std::move(done)});
        at(patience + 1ms, [this] { advance(); });
        advance();
    }

    void advance() {
        for (const auto& change : gate_.advance(now_)) {
            const auto entry = std::move(waiting_.at(change.call));
            waiting_.erase(change.call);
            if (change.reason != refusal::none) {
                entry.done(false);
                continue;
            }
            at(entry.work, [this, call = change.call, entry] {
                gate_.finished(now_, call, {entry.work, service_end::answered});
                entry.done(true);
                advance();
            });
        }
    }

    bool has_marks_;
    time_point now_{1000s};
    random_source random_{17};
    admission gate_;
    std::vector<downstream_level> levels_;
    std::multimap<time_point, std::function<void()>> events_;
    std::map<call_id, pending_call> waiting_;
    std::uint64_t last_call_ = 0;
};

shared_bottleneck played(bool has_marks, std::size_t nodes_above) {
    shared_bottleneck site(has_marks, nodes_above);
    site.offer_whole_requests(100);
    site.offer_own_requests(12);
    site.run_for(60s);
    return site;
}

double share_of_own(const shared_bottleneck& site) {
    return static_cast<double>(site.own.finished) / site.own.begun;
}

double share_of_all(const shared_bottleneck& site) {
    return static_cast<double>(site.own.finished + site.whole.finished) /
           (site.own.begun + site.whole.begun);
}

} // namespace

// The whole requests want 55 slots, the own ones 2.2, and there are 20. The more nodes the whole
// requests begin at, the less each of them learns.
TEST_CASE("callers' own requests are not starved by the calls of more whole requests than fit") {
    for (const std::size_t nodes_above : {1, 4, 25}) {
        CAPTURE(nodes_above);
        const auto site = played(true, nodes_above);
        CHECK(share_of_own(site) > 0.25 * share_of_all(site));
        const double fitting = 60 * (slots - 2.2) / (calls_each * to_seconds(call_time));
        CHECK(site.whole.finished > 0.75 * fitting);
    }
}

TEST_CASE("without marks of congestion many nodes starve them") {
    const auto site = played(false, 25);
    CHECK(share_of_own(site) < 0.25 * share_of_all(site));
}
