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

/// A setting that was refused.
struct setting_error {
    /// The flag with its dashes, or the name of the environment variable.
    std::string name;
    std::string value;
    /// Description of the accepted values.
    std::string allowed;

    friend bool operator==(const setting_error&, const setting_error&) = default;
};

/// Formats the error as one line of text.
std::string to_string(const setting_error& error);

/// Result of parsing: run the program.
struct run_program {
    /// Arguments that are not flags.
    std::vector<std::string> positional;
};
/// Result of parsing: print the help text.
struct show_help {};
/// Result of parsing: print the version.
struct show_version {};
/// Result of parsing: at least one setting is invalid.
struct settings_refused {
    std::vector<setting_error> errors;
};
using parse_result = std::variant<run_program, show_help, show_version, settings_refused>;

/// Declares and parses the settings of a program. Each setting is a flag `--some-name VALUE` and an
/// environment variable `TREFOIL_SOME_NAME`; the flag takes precedence. `target` points to the
/// variable that receives the value. Its initial value is the default, and it must outlive the call
/// of parse().
class option_set {
public:
    explicit option_set(std::string program, std::string summary);

    /// Adds a setting that accepts any non-empty text.
    void add_text(std::string flag, std::string* target, std::string help, bool is_required);
    /// Adds a setting that accepts a whole number from `lowest` to `highest`.
    void add_count(std::string flag, std::uint64_t* target, std::uint64_t lowest,
                   std::uint64_t highest, std::string unit, std::string help);
    /// Adds a setting that accepts a decimal number from `lowest` to `highest`.
    void add_number(std::string flag, double* target, double lowest, double highest,
                    std::string unit, std::string help);
    /// Adds a setting that accepts a whole number of milliseconds from `lowest` to `highest`.
    void add_milliseconds(std::string flag, duration* target, std::uint64_t lowest,
                          std::uint64_t highest, std::string help);
    /// Adds a setting that accepts an address as IP:PORT.
    void add_endpoint(std::string flag, std::optional<endpoint>* target, std::string help,
                      bool is_required);
    /// Adds a flag without a value; its environment variable accepts 1 or 0.
    void add_switch(std::string flag, bool* target, std::string help);
    /// Adds a setting that accepts one of the given words.
    void add_choice(std::string flag, std::string* target, std::vector<std::string> words,
                    std::string help);

    /// Parses the command line, then the environment for the flags that were not given, and
    /// collects all errors. Parsing stops at --help or --version, and errors found until then are
    /// ignored.
    parse_result parse(int argc, char** argv);

    /// Returns the name of the program.
    const std::string& program() const { return program_; }

    /// Returns the text that --help prints.
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
        /// Stores the value in the target; returns false if the value is not accepted.
        std::function<bool(const std::string&)> apply;
    };

    static std::string variable_name(const std::string& flag);
    void set(option& selected, const std::string& name, const std::string& value,
             std::vector<setting_error>& errors);

    std::string program_;
    std::string summary_;
    std::vector<option> options_;
};

/// Exit code of a program whose settings are refused.
inline constexpr int exit_bad_settings = 2;
/// The version that --version prints.
inline constexpr std::string_view program_version = "0.1.0";

} // namespace trefoil
