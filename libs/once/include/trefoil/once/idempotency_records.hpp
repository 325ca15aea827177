// Bounded store of idempotency records: requests that started under a key, and their results.
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

/// Limits of the store of idempotency records.
struct idempotency_record_limits {
    /// How long the record of a completed request is kept.
    duration lifetime = 600s;
    /// Maximum number of records, including those of requests that are still running. The latter
    /// are never evicted and may exceed the limit on their own.
    std::size_t max_records = 20'000;
    /// Maximum total size of the stored answers, headers included, in bytes.
    std::size_t max_answer_bytes = 16'000'000;

    friend bool operator==(const idempotency_record_limits&,
                           const idempotency_record_limits&) = default;
};

/// Result of a completed request.
struct recorded_result {
    /// Null for a refusal, and after the answer was dropped to free memory.
    answer_ptr answer;
    answer_info info;

    friend bool operator==(const recorded_result&, const recorded_result&) = default;
};

/// Stores a record for each request by its key, from the start of the request. Memory is bounded:
/// the answers of the oldest completed requests are dropped first, then their records are evicted.
/// The record of a request that is still running is never evicted.
template <class Key>
class idempotency_records {
public:
    explicit idempotency_records(idempotency_record_limits limits) : limits_(limits) {}

    /// Adds the record of a request that starts. The store must not contain the key.
    void begin(const Key& key) {
        [[maybe_unused]] const bool inserted = records_.try_emplace(key).second;
        assert(inserted);
    }

    bool contains(const Key& key) const { return records_.contains(key); }

    /// Returns the request's result; null while the request is running and for an unknown key.
    const recorded_result* result_of(const Key& key) const {
        const auto found = records_.find(key);
        return found == records_.end() || !found->second ? nullptr : &*found->second;
    }

    /// Completes the record of a running request with its result.
    void complete(time_point now, const Key& key, const recorded_result& end) {
        answer_bytes_ += answer_size(end);
        records_.at(key) = end;
        completed_.push_back({now, key});
        keys_with_answer_.push_back(key);
    }

    /// Removes a record. Does nothing if the key is unknown.
    void erase(const Key& key) {
        const auto found = records_.find(key);
        if (found != records_.end()) {
            answer_bytes_ -= found->second ? answer_size(*found->second) : 0;
            records_.erase(found);
        }
    }

    /// Drops the oldest answers while they exceed their limit, and evicts the oldest completed
    /// records while there are too many or their lifetime is over. Returns the evicted keys.
    std::vector<Key> evict(time_point now) {
        while (answer_bytes_ > limits_.max_answer_bytes && !keys_with_answer_.empty()) {
            drop_answer(keys_with_answer_.front());
            keys_with_answer_.pop_front();
        }
        std::vector<Key> evicted;
        while (!completed_.empty() && (records_.size() > limits_.max_records ||
                                       completed_.front().at + limits_.lifetime <= now)) {
            evicted.push_back(completed_.front().key);
            erase(completed_.front().key);
            completed_.pop_front();
            if (keys_with_answer_.size() > completed_.size()) {
                keys_with_answer_.pop_front();
            }
        }
        return evicted;
    }

    std::size_t size() const { return records_.size(); }
    std::size_t answer_bytes() const { return answer_bytes_; }

private:
    struct completed_record {
        time_point at;
        Key key;
    };

    /// Size of the body and the headers of the answer; 0 without an answer.
    static std::size_t answer_size(const recorded_result& end) {
        if (!end.answer) {
            return 0;
        }
        std::size_t bytes = end.answer->body.size();
        for (const auto& field : end.answer->headers) {
            bytes += field.name.size() + field.value.size();
        }
        return bytes;
    }

    /// Replaces the result of a completed request by an unknown outcome without an answer.
    void drop_answer(const Key& key) {
        const auto found = records_.find(key);
        if (found == records_.end() || !found->second) {
            return;
        }
        answer_bytes_ -= answer_size(*found->second);
        answer_info info;
        info.result = outcome::unknown;
        info.reason = refusal::key_owner_gone;
        found->second = recorded_result{nullptr, info};
    }

    idempotency_record_limits limits_;
    std::unordered_map<Key, std::optional<recorded_result>> records_;
    /// Completed requests, oldest first; the most recent ones still have their answers.
    std::deque<completed_record> completed_;
    /// Completed requests whose answers have not been dropped, oldest first.
    std::deque<Key> keys_with_answer_;
    std::size_t answer_bytes_ = 0;
};

} // namespace trefoil
