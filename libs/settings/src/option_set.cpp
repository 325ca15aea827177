#include <trefoil/settings/option_set.hpp>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <getopt.h>

#include <fmt/format.h>

namespace trefoil {
namespace {

template <class Number>
bool parse_number(const std::string& text, Number& value) {
    const auto* end = text.data() + text.size();
    const auto [at, error] = std::from_chars(text.data(), end, value);
    return error == std::errc{} && at == end;
}

constexpr std::string_view help_flag = "help";
constexpr std::string_view version_flag = "version";

} // namespace

std::string to_string(const setting_error& error) {
    return fmt::format("{}: '{}': allowed is {}", error.name, error.value, error.allowed);
}

option_set::option_set(std::string program, std::string summary)
    : program_(std::move(program)), summary_(std::move(summary)) {}

void option_set::add_text(std::string flag, std::string* target, std::string help,
                          bool is_required) {
    options_.push_back({std::move(flag), "text", *target, std::move(help), "a non-empty text", true,
                        is_required, false, [target](const std::string& value) {
                            *target = value;
                            return !value.empty();
                        }});
}

void option_set::add_count(std::string flag, std::uint64_t* target, std::uint64_t lowest,
                           std::uint64_t highest, std::string unit, std::string help) {
    options_.push_back({std::move(flag), std::move(unit), std::to_string(*target), std::move(help),
                        fmt::format("a whole number from {} to {}", lowest, highest), true, false,
                        false, [=](const std::string& value) {
                            return parse_number(value, *target) && *target >= lowest &&
                                   *target <= highest;
                        }});
}

void option_set::add_number(std::string flag, double* target, double lowest, double highest,
                            std::string unit, std::string help) {
    options_.push_back({std::move(flag), std::move(unit), fmt::format("{}", *target),
                        std::move(help), fmt::format("a number from {} to {}", lowest, highest),
                        true, false, false, [=](const std::string& value) {
                            return parse_number(value, *target) && *target >= lowest &&
                                   *target <= highest;
                        }});
}

void option_set::add_milliseconds(std::string flag, duration* target, std::uint64_t lowest,
                                  std::uint64_t highest, std::string help) {
    options_.push_back(
        {std::move(flag), "ms", std::to_string(target->count() / 1000), std::move(help),
         fmt::format("a whole number of milliseconds from {} to {}", lowest, highest), true, false,
         false, [=](const std::string& value) {
             std::uint64_t count = 0;
             if (!parse_number(value, count) || count < lowest || count > highest) {
                 return false;
             }
             *target = std::chrono::milliseconds(count);
             return true;
         }});
}

void option_set::add_endpoint(std::string flag, std::optional<endpoint>* target, std::string help,
                              bool is_required) {
    options_.push_back({std::move(flag), "IP:PORT", *target ? to_string(**target) : "",
                        std::move(help),
                        "IP:PORT with an IP address and a port number from 1 to 65535", true,
                        is_required, false, [target](const std::string& value) {
                            const auto parsed = parse_endpoint(value);
                            if (parsed.ok()) {
                                *target = *parsed;
                            }
                            return parsed.ok();
                        }});
}

void option_set::add_switch(std::string flag, bool* target, std::string help) {
    options_.push_back({std::move(flag), "", *target ? "1" : "0", std::move(help), "1 or 0", false,
                        false, false, [target](const std::string& value) {
                            *target = value == "1";
                            return value == "1" || value == "0";
                        }});
}

void option_set::add_choice(std::string flag, std::string* target, std::vector<std::string> words,
                            std::string help) {
    options_.push_back({std::move(flag), "word", *target, std::move(help),
                        fmt::format("one of {}", fmt::join(words, ", ")), true, false, false,
                        [target, words](const std::string& value) {
                            *target = value;
                            return std::find(words.begin(), words.end(), value) != words.end();
                        }});
}

std::string option_set::variable_name(const std::string& flag) {
    std::string name = "TREFOIL_";
    for (const char c : flag) {
        name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    }
    return name;
}

void option_set::set(option& selected, const std::string& name, const std::string& value,
                     std::vector<setting_error>& errors) {
    selected.was_set = true;
    if (!selected.apply(value)) {
        errors.push_back({name, value, selected.allowed});
    }
}

parse_result option_set::parse(int argc, char** argv) {
    std::vector<setting_error> errors;
    std::vector<::option> table;
    for (const auto& declared : options_) {
        table.push_back({declared.flag.c_str(),
                         declared.takes_value ? required_argument : no_argument, nullptr, 0});
    }
    table.push_back({help_flag.data(), no_argument, nullptr, 0});
    table.push_back({version_flag.data(), no_argument, nullptr, 0});
    table.push_back({nullptr, 0, nullptr, 0});

    std::vector<bool> is_flag_given(options_.size(), false);
    optind = 0;
    opterr = 0;
    int index = 0;
    int found = 0;
    while ((found = getopt_long(argc, argv, ":", table.data(), &index)) != -1) {
        if (found != 0) {
            errors.push_back({argv[optind - 1], found == ':' ? "" : argv[optind - 1],
                              found == ':' ? "a value after the flag" : "a flag listed by --help"});
            continue;
        }
        const auto at = static_cast<std::size_t>(index);
        if (at == options_.size()) {
            return show_help{};
        }
        if (at == options_.size() + 1) {
            return show_version{};
        }
        is_flag_given[at] = true;
        set(options_[at], "--" + options_[at].flag, optarg == nullptr ? "1" : optarg, errors);
    }
    for (std::size_t i = 0; i < options_.size(); ++i) {
        const auto name = variable_name(options_[i].flag);
        const char* value = std::getenv(name.c_str());
        if (value != nullptr && !is_flag_given[i]) {
            set(options_[i], name, value, errors);
        }
        if (options_[i].is_required && !options_[i].was_set) {
            errors.push_back(
                {"--" + options_[i].flag, "", options_[i].allowed + "; it is required"});
        }
    }
    if (!errors.empty()) {
        return settings_refused{std::move(errors)};
    }
    return run_program{{argv + optind, argv + argc}};
}

std::string option_set::help() const {
    std::string text = fmt::format(
        "{}: {}\n\nA flag is considered before its environment variable.\n\n", program_, summary_);
    for (const auto& declared : options_) {
        const auto shown = declared.takes_value
                               ? fmt::format("--{} {}", declared.flag, declared.unit)
                               : fmt::format("--{}", declared.flag);
        const auto fallback = declared.is_required
                                  ? std::string("required")
                                  : fmt::format("default {}", declared.default_value);
        text +=
            fmt::format("  {:<34} {:<34} {}\n      {} ({})\n", shown, variable_name(declared.flag),
                        fallback, declared.help, declared.allowed);
    }
    text += "  --help                             shows this text\n";
    text += "  --version                          shows the version\n";
    return text;
}

} // namespace trefoil
