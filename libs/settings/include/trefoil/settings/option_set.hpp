// Settings from command-line flags and environment variables.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <trefoil/base/endpoint.hpp>
#include <trefoil/base/time.hpp>

namespace trefoil {

/// One setting that was refused.
struct setting_error {
    /// The flag with its dashes, or the variable's name.
    std::string name;
    std::string value;
    std::string allowed;

    friend bool operator==(const setting_error&, const setting_error&) = default;
};

/// The error as one line.
std::string to_string(const setting_error& error);

/// What the command line asks for.
struct run_program {
    /// Arguments that are no flags.
    std::vector<std::string> positional;
};
struct show_help {};
struct show_version {};
struct settings_refused {
    std::vector<setting_error> errors;
};
using parse_result = std::variant<run_program, show_help, show_version, settings_refused>;

/// A program's settings. Each is a flag `--some-name VALUE` and an environment variable
/// `TREFOIL_SOME_NAME`; a flag goes before its variable. The targets must outlive parse().
class option_set {
public:
    explicit option_set(std::string program, std::string summary);

    /// Any text that is not empty.
    void add_text(std::string flag, std::string* target, std::string help, bool is_required);
    /// A whole number in the range.
    void add_count(std::string flag, std::uint64_t* target, std::uint64_t lowest,
                   std::uint64_t highest, std::string unit, std::string help);
    /// A decimal number in the range.
    void add_number(std::string flag, double* target, double lowest, double highest,
                    std::string unit, std::string help);
    /// A whole number of milliseconds in the range.
    void add_milliseconds(std::string flag, duration* target, std::uint64_t lowest,
                          std::uint64_t highest, std::string help);
    /// IP:PORT.
    void add_endpoint(std::string flag, std::optional<endpoint>* target, std::string help,
                      bool is_required);
    /// A flag without a value; its variable is 1 or 0.
    void add_switch(std::string flag, bool* target, std::string help);
    /// One of a few words.
    void add_choice(std::string flag, std::string* target, std::vector<std::string> words,
                    std::string help);

    /// Reads the environment, then the command line, and collects every error.
    parse_result parse(int argc, char** argv);

    /// The program's name.
    const std::string& program() const { return program_; }

    /// The text of --help.
    std::string help() const;

private:
    struct option {
        std::string flag;
        std::string unit;
        std::string default_value;
        std::string help;
        std::string allowed;
        bool takes_value = true;
        bool is_required = false;
        bool was_set = false;
        /// False if the value is not allowed.
        std::function<bool(const std::string&)> apply;
    };

    static std::string variable_of(const std::string& flag);
    void set(option& which, const std::string& name, const std::string& value,
             std::vector<setting_error>& errors);

    std::string program_;
    std::string summary_;
    std::vector<option> options_;
};

/// Exit code for settings that are refused.
inline constexpr int exit_bad_settings = 2;
/// The version that --version prints.
inline constexpr std::string_view program_version = "0.1.0";

} // namespace trefoil
