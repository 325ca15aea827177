#include <trefoil/quota/quota_message.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include <fmt/format.h>

#include <trefoil/base/hash.hpp>

namespace trefoil {
namespace {

/// Bits of a code: two of 1,000 workspaces share one with a probability below 10^-6.
constexpr unsigned code_bits = 40;
constexpr int hexadecimal = 16;
/// The first word of each kind of message.
constexpr std::string_view node_word = "n";
constexpr std::string_view answer_word = "a";
constexpr std::string_view domain_word = "d";
/// A larger number is not accepted.
constexpr double max_number = 1e12;

template <std::size_t count>
struct numbered_entry {
    workspace_code workspace;
    std::array<double, count> numbers{};
};

std::string number_text(double value) {
    return fmt::format("{:.3g}", value);
}

/// A count, without loss.
std::string count_text(double value) {
    return fmt::format("{:.0f}", value);
}

/// Takes the text up to the separator from the front.
std::string_view take_until(std::string_view& text, char separator) {
    const auto end = std::min(text.find(separator), text.size());
    const auto taken = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    return taken;
}

std::optional<double> read_number(std::string_view text) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool is_valid = error == std::errc() && end == text.data() + text.size() &&
                          std::isfinite(value) && std::abs(value) <= max_number;
    return is_valid ? std::optional(value) : std::nullopt;
}

template <std::size_t count>
std::optional<numbered_entry<count>> read_entry(std::string_view text) {
    if (std::count(text.begin(), text.end(), ':') != count) {
        return std::nullopt;
    }
    numbered_entry<count> made;
    const auto code = take_until(text, ':');
    const auto [end, error] =
        std::from_chars(code.data(), code.data() + code.size(), made.workspace.value, hexadecimal);
    if (error != std::errc() || end != code.data() + code.size()) {
        return std::nullopt;
    }
    for (auto& number : made.numbers) {
        const auto read = read_number(take_until(text, ':'));
        if (!read) {
            return std::nullopt;
        }
        number = *read;
    }
    return text.empty() ? std::optional(made) : std::nullopt;
}

template <std::size_t count>
std::optional<std::vector<numbered_entry<count>>> read_entries(std::string_view text) {
    std::vector<numbered_entry<count>> entries;
    if (text.ends_with(' ')) {
        return std::nullopt;
    }
    while (!text.empty()) {
        const auto entry = read_entry<count>(take_until(text, ' '));
        if (!entry || entries.size() == max_quota_entries) {
            return std::nullopt;
        }
        entries.push_back(*entry);
    }
    return entries;
}

bool is_part(double number) {
    return number >= 0 && number <= 1;
}

} // namespace

workspace_code code_of(const workspace_name& name) {
    return {stable_hash(name.str()) >> (64U - code_bits)};
}

std::string encode(const node_report& report) {
    std::string text(node_word);
    for (const auto& entry : report.entries) {
        text += fmt::format(" {:x}:{}:{}", entry.workspace.value, count_text(entry.use.admitted),
                            count_text(entry.use.asked));
    }
    return text;
}

std::string encode(const node_answer& answer) {
    std::string text(answer_word);
    for (const auto& entry : answer.entries) {
        text +=
            fmt::format(" {:x}:{}:{}:{:.3g}", entry.workspace.value, number_text(entry.whole.level),
                        number_text(entry.whole.demand), entry.whole.part);
    }
    return text;
}

std::string encode(const domain_report& report) {
    auto text = fmt::format("{} {}", domain_word, report.from.str());
    for (const auto& entry : report.entries) {
        text +=
            fmt::format(" {:x}:{}:{}:{:.2f}", entry.workspace.value, count_text(entry.use.admitted),
                        number_text(entry.use.demand), entry.use.receiver_part);
    }
    return text;
}

std::optional<node_report> decode_node_report(std::string_view text) {
    if (take_until(text, ' ') != node_word) {
        return std::nullopt;
    }
    const auto entries = read_entries<2>(text);
    if (!entries) {
        return std::nullopt;
    }
    node_report report;
    for (const auto& entry : *entries) {
        report.entries.push_back({entry.workspace, {entry.numbers[0], entry.numbers[1]}});
    }
    return report;
}

std::optional<node_answer> decode_node_answer(std::string_view text) {
    if (take_until(text, ' ') != answer_word) {
        return std::nullopt;
    }
    const auto entries = read_entries<3>(text);
    if (!entries) {
        return std::nullopt;
    }
    node_answer answer;
    for (const auto& entry : *entries) {
        if (entry.numbers[1] < 0 || !is_part(entry.numbers[2])) {
            return std::nullopt;
        }
        answer.entries.push_back(
            {entry.workspace, {entry.numbers[0], entry.numbers[1], entry.numbers[2]}});
    }
    return answer;
}

std::optional<domain_report> decode_domain_report(std::string_view text) {
    if (take_until(text, ' ') != domain_word) {
        return std::nullopt;
    }
    domain_report report;
    report.from = domain_name(std::string(take_until(text, ' ')));
    const auto entries = read_entries<3>(text);
    if (!entries || report.from.empty()) {
        return std::nullopt;
    }
    for (const auto& entry : *entries) {
        if (entry.numbers[1] < 0 || !is_part(entry.numbers[2])) {
            return std::nullopt;
        }
        report.entries.push_back(
            {entry.workspace, {entry.numbers[0], entry.numbers[1], entry.numbers[2]}});
    }
    return report;
}

} // namespace trefoil
