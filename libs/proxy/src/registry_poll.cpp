#include "registry_poll.hpp"

#include <algorithm>
#include <array>
#include <charconv>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace trefoil {
namespace {

using nlohmann::json;

/// Elements of the JSON array that holds one record.
enum record_element : std::size_t { key, value, revision, created, is_removal, element_count };

/// Reads numbers that are separated by single spaces.
class number_reader {
public:
    explicit number_reader(std::string_view text) : rest_(text) {}

    /// Returns nothing if the text does not go on with a number.
    std::optional<std::uint64_t> next() {
        std::uint64_t number = 0;
        const auto read = std::from_chars(rest_.data(), rest_.data() + rest_.size(), number);
        if (read.ec != std::errc()) {
            return std::nullopt;
        }
        rest_.remove_prefix(static_cast<std::size_t>(read.ptr - rest_.data()));
        if (rest_.starts_with(' ')) {
            rest_.remove_prefix(1);
        }
        return number;
    }

    /// Reads the given count of numbers; returns nothing if there are more or fewer.
    template <std::size_t count>
    std::optional<std::array<std::uint64_t, count>> all() {
        std::array<std::uint64_t, count> numbers{};
        for (auto& number : numbers) {
            const auto read = next();
            if (!read) {
                return std::nullopt;
            }
            number = *read;
        }
        return rest_.empty() ? std::optional(numbers) : std::nullopt;
    }

private:
    std::string_view rest_;
};

/// Longer durations are encoded as this one.
constexpr duration max_duration = std::chrono::hours(1);

/// Added to durations that must not appear shorter.
constexpr duration rounding = 999us;

std::int64_t encoded_ms(duration value) {
    return whole_ms(std::clamp(value, duration{0}, max_duration)).count();
}

std::optional<duration> decoded_ms(std::uint64_t value) {
    const auto limit = static_cast<std::uint64_t>(whole_ms(max_duration).count());
    if (value > limit) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(value);
}

json to_json(const registry_record& record) {
    return json::array(
        {record.key, record.value, record.revision, record.created, record.is_removal});
}

registry_record to_record(const json& entry) {
    const bool is_valid = entry.is_array() && entry.size() == element_count &&
                          entry[revision].is_number_unsigned() &&
                          entry[created].is_number_unsigned();
    if (!is_valid) {
        throw std::invalid_argument("record");
    }
    return {entry[key].get<std::string>(), entry[value].get<std::string>(),
            entry[revision].get<std::uint64_t>(), entry[created].get<std::uint64_t>(),
            entry[is_removal].get<bool>()};
}

} // namespace

std::string encode_poll(const registry_poll& poll) {
    return fmt::format("{} {}", poll.after_revision, poll.is_urgent ? 1 : 0);
}

std::optional<registry_poll> decode_poll(std::string_view text) {
    const auto numbers = number_reader(text).all<2>();
    if (!numbers) {
        return std::nullopt;
    }
    const auto [after_revision, is_urgent] = *numbers;
    return registry_poll{after_revision, is_urgent != 0};
}

std::string encode_poll_answer(const registry_poll_answer& answer) {
    return fmt::format("{} {} {} {} {}", answer.difference.revision,
                       answer.difference.is_complete ? 1 : 0, encoded_ms(answer.age + rounding),
                       encoded_ms(answer.held), answer.is_registry_lost ? 1 : 0);
}

std::optional<registry_poll_answer> decode_poll_answer(std::string_view text) {
    const auto numbers = number_reader(text).all<5>();
    if (!numbers) {
        return std::nullopt;
    }
    const auto [revision, is_complete, age_ms, held_ms, is_registry_lost] = *numbers;
    const auto age = decoded_ms(age_ms);
    const auto held = decoded_ms(held_ms);
    if (!age || !held) {
        return std::nullopt;
    }
    registry_poll_answer answer;
    answer.difference.revision = revision;
    answer.difference.is_complete = is_complete != 0;
    answer.age = *age;
    answer.held = *held;
    answer.is_registry_lost = is_registry_lost != 0;
    return answer;
}

std::string encode_era(std::uint64_t era) {
    return fmt::format("{}", era);
}

std::uint64_t decode_era(std::string_view text) {
    const auto numbers = number_reader(text).all<1>();
    return numbers ? numbers->front() : 0;
}

std::string encode_since_failure(duration since_failure) {
    return fmt::format("{}", encoded_ms(since_failure + rounding));
}

std::optional<duration> decode_since_failure(std::string_view text) {
    const auto numbers = number_reader(text).all<1>();
    return numbers ? decoded_ms(numbers->front()) : std::nullopt;
}

std::string encode_records(const std::vector<registry_record>& records) {
    if (records.empty()) {
        return {};
    }
    auto all = json::array();
    for (const auto& record : records) {
        all.push_back(to_json(record));
    }
    return all.dump();
}

std::optional<std::vector<registry_record>> decode_records(std::string_view text) {
    std::vector<registry_record> records;
    if (text.empty()) {
        return records;
    }
    try {
        const auto all = json::parse(text);
        if (!all.is_array()) {
            return std::nullopt;
        }
        records.reserve(all.size());
        for (const auto& entry : all) {
            records.push_back(to_record(entry));
        }
        return records;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace trefoil
