// Requests that were begun under a key, and how they ended.
#pragma once

#include <cassert>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include <trefoil/base/time.hpp>
#include <trefoil/wire/call_context.hpp>
#include <trefoil/wire/http_message.hpp>

namespace trefoil {

/// Bounds of what is kept of ended requests.
struct kept_limits {
    /// How long an ended request is kept.
    duration lifetime = 600s;
    /// Requests kept at most, those that still run included.
    std::size_t max_records = 20'000;
    /// Bytes of answers kept at most, over all requests.
    std::size_t max_answer_bytes = 16'000'000;

    friend bool operator==(const kept_limits&, const kept_limits&) = default;
};

/// How a request ended.
struct kept_end {
    /// Null for a refusal, and once the answer's bytes were given up.
    answer_ptr answer;
    answer_info info;

    friend bool operator==(const kept_end&, const kept_end&) = default;
};

/// Remembers requests by their key from their start on. Memory is bounded: the oldest ended ones
/// lose their answers first and are then forgotten; one that still runs never is.
template <class Key>
class kept_runs {
public:
    explicit kept_runs(kept_limits limits) : limits_(limits) {}

    /// Notes that a request runs. Its key must be unknown.
    void begin(const Key& key) {
        [[maybe_unused]] const bool inserted = records_.try_emplace(key).second;
        assert(inserted);
    }

    bool contains(const Key& key) const { return records_.contains(key); }

    /// How the request ended; null while it runs and for an unknown key.
    const kept_end* end_of(const Key& key) const {
        const auto found = records_.find(key);
        return found == records_.end() || !found->second ? nullptr : &*found->second;
    }

    /// Notes the end of a running request.
    void end(time_point now, const Key& key, const kept_end& end) {
        answer_bytes_ += size_of(end);
        records_.at(key) = end;
        ended_.push_back({now, key});
        with_answer_.push_back(key);
    }

    /// Forgets a request that was begun.
    void forget(const Key& key) {
        const auto found = records_.find(key);
        if (found != records_.end()) {
            answer_bytes_ -= found->second ? size_of(*found->second) : 0;
            records_.erase(found);
        }
    }

    /// Forgets what is too old or too much, and returns the forgotten keys.
    std::vector<Key> trim(time_point now) {
        while (answer_bytes_ > limits_.max_answer_bytes && !with_answer_.empty()) {
            give_up_answer(with_answer_.front());
            with_answer_.pop_front();
        }
        std::vector<Key> forgotten;
        while (!ended_.empty() && (records_.size() > limits_.max_records ||
                                   ended_.front().at + limits_.lifetime <= now)) {
            forgotten.push_back(ended_.front().key);
            forget(ended_.front().key);
            ended_.pop_front();
            if (with_answer_.size() > ended_.size()) {
                with_answer_.pop_front();
            }
        }
        return forgotten;
    }

    std::size_t size() const { return records_.size(); }
    std::size_t answer_bytes() const { return answer_bytes_; }

private:
    struct ended_run {
        time_point at;
        Key key;
    };

    static std::size_t size_of(const kept_end& end) {
        if (!end.answer) {
            return 0;
        }
        std::size_t bytes = end.answer->body.size();
        for (const auto& field : end.answer->headers) {
            bytes += field.name.size() + field.value.size();
        }
        return bytes;
    }

    void give_up_answer(const Key& key) {
        const auto found = records_.find(key);
        if (found == records_.end() || !found->second) {
            return;
        }
        answer_bytes_ -= size_of(*found->second);
        answer_info info;
        info.result = outcome::unknown;
        info.reason = refusal::key_owner_gone;
        found->second = kept_end{nullptr, info};
    }

    kept_limits limits_;
    std::unordered_map<Key, std::optional<kept_end>> records_;
    /// Ended requests, the oldest first; the last of them still have their answers.
    std::deque<ended_run> ended_;
    std::deque<Key> with_answer_;
    std::size_t answer_bytes_ = 0;
};

} // namespace trefoil
