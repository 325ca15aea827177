#include <doctest/doctest.h>

#include <cstdlib>

#include <trefoil/settings/option_set.hpp>

using namespace trefoil;

namespace {

struct program {
    std::string name = "x";
    std::uint64_t slots = 4;
    duration wait = 100ms;
    std::optional<endpoint> where;
    bool quiet = false;

    parse_result parse(std::vector<std::string> arguments) {
        option_set options("program", "does things");
        options.add_text("name", &name, "a name", true);
        options.add_count("slots", &slots, 1, 10, "calls", "how many");
        options.add_milliseconds("wait", &wait, 1, 1000, "how long");
        options.add_endpoint("where", &where, "an address", false);
        options.add_switch("quiet", &quiet, "no output");
        arguments.insert(arguments.begin(), "program");
        std::vector<char*> argv;
        for (auto& argument : arguments) {
            argv.push_back(argument.data());
        }
        argv.push_back(nullptr);
        return options.parse(static_cast<int>(arguments.size()), argv.data());
    }
};

} // namespace

TEST_CASE("a flag takes precedence over its environment variable") {
    ::setenv("TREFOIL_SLOTS", "3", 1);
    ::setenv("TREFOIL_WAIT", "7", 1);
    program p;
    const auto result = p.parse({"--name", "n", "--slots", "9", "--quiet", "rest"});
    REQUIRE(std::holds_alternative<run_program>(result));
    CHECK(std::get<run_program>(result).positional == std::vector<std::string>{"rest"});
    CHECK(p.slots == 9);
    CHECK(p.wait == 7ms);
    CHECK(p.quiet);
    ::unsetenv("TREFOIL_SLOTS");
    ::unsetenv("TREFOIL_WAIT");
}

TEST_CASE("all errors are reported together, each with name, value and accepted values") {
    program p;
    const auto result =
        p.parse({"--slots", "11", "--wait", "x", "--where", "localhost:1", "--nonsense"});
    REQUIRE(std::holds_alternative<settings_refused>(result));
    const auto& errors = std::get<settings_refused>(result).errors;
    REQUIRE(errors.size() == 5);
    CHECK(to_string(errors[0]) == "--slots: '11': allowed is a whole number from 1 to 10");
}

TEST_CASE("--help and --version take precedence over errors after them") {
    program p;
    CHECK(std::holds_alternative<show_help>(p.parse({"--help", "--slots", "11"})));
    CHECK(std::holds_alternative<show_version>(p.parse({"--version"})));
}
