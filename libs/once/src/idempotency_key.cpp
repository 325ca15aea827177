#include <trefoil/once/idempotency_key.hpp>

#include <charconv>

#include <fmt/format.h>

namespace trefoil {
namespace {

constexpr std::string_view prefix = "tk1_";
constexpr char separator = '_';
constexpr std::size_t max_key_length = 200;
constexpr int hex_base = 16;

/// Removes the first field and its separator from the text and returns the field.
std::string_view take_field(std::string_view& rest) {
    const auto end = std::min(rest.find(separator), rest.size());
    const auto field = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    return field;
}

template <class Number>
bool parse_hex(std::string_view text, Number& value) {
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), value, hex_base);
    return error == std::errc{} && end == text.data() + text.size();
}

bool parse_mac(std::string_view text, key_mac& mac) {
    if (text.size() != 2 * mac.size()) {
        return false;
    }
    for (std::size_t i = 0; i < mac.size(); ++i) {
        if (!parse_hex(text.substr(2 * i, 2), mac[i])) {
            return false;
        }
    }
    return true;
}

} // namespace

std::string to_string(const idempotency_key& key) {
    auto text =
        fmt::format("{}{}_{:x}_{:x}_{:x}_", prefix, to_string(key.owner), key.incarnation.value,
                    key.number, static_cast<std::uint64_t>(key.issued.time_since_epoch().count()));
    for (const auto byte : key.mac) {
        text += fmt::format("{:02x}", byte);
    }
    return text;
}

std::optional<idempotency_key> parse_idempotency_key(std::string_view text) {
    if (text.size() > max_key_length || !text.starts_with(prefix)) {
        return std::nullopt;
    }
    auto rest = text.substr(prefix.size());
    idempotency_key key;
    const auto owner = parse_endpoint(take_field(rest));
    std::int64_t issued = 0;
    const bool are_numbers_valid = parse_hex(take_field(rest), key.incarnation.value) &&
                                   parse_hex(take_field(rest), key.number) &&
                                   parse_hex(take_field(rest), issued);
    if (!owner.ok() || !are_numbers_valid || issued < 0 || !parse_mac(rest, key.mac)) {
        return std::nullopt;
    }
    key.owner = *owner;
    key.issued = time_point(duration(issued));
    return key;
}

} // namespace trefoil
