#include <trefoil/faults/fuzz.hpp>

#include <fmt/format.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

namespace trefoil {
namespace {

/// State that the generator tracks to avoid commands that have no effect.
struct fleet_model {
    std::uint32_t submissions = 0;
    std::set<std::uint32_t> paused;
    std::set<std::uint32_t> not_running;
};

constexpr std::uint32_t node_count = 6;

using base_command = rc::state::Command<fleet_model, trial>;
using command_ptr = std::shared_ptr<const base_command>;

/// Adapter of a trial's command for RapidCheck.
class fleet_command : public base_command {
public:
    explicit fleet_command(command what) : what_(what) {}

    const command& what() const { return what_; }

    void checkPreconditions(const fleet_model& model) const override {
        const auto node = what_.x % node_count;
        switch (what_.type) {
        case command_type::resend:
        case command_type::withdraw:
            RC_PRE(model.submissions > 0);
            break;
        case command_type::resume:
            RC_PRE(model.paused.contains(node));
            break;
        case command_type::pause:
        case command_type::stop:
        case command_type::kill:
        case command_type::reset:
            RC_PRE(!model.not_running.contains(node));
            break;
        default:
            break;
        }
    }

    void apply(fleet_model& model) const override {
        const auto node = what_.x % node_count;
        switch (what_.type) {
        case command_type::submit:
        case command_type::resend:
            ++model.submissions;
            break;
        case command_type::pause:
            model.paused.insert(node);
            break;
        case command_type::resume:
            model.paused.erase(node);
            break;
        case command_type::kill:
        case command_type::stop:
            model.not_running.insert(node);
            model.paused.erase(node);
            break;
        case command_type::restart:
            model.not_running.erase(node);
            model.paused.erase(node);
            break;
        default:
            break;
        }
    }

    void run(const fleet_model&, trial& sut) const override { sut.run(what_); }

    void show(std::ostream& os) const override { os << to_string(what_); }

private:
    command what_;
};

rc::Gen<command_type> type_generator(const std::set<command_type>& without) {
    using enum command_type;
    const auto any = rc::gen::weightedElement<command_type>(
        {{12, submit},         {4, resend},       {3, withdraw},
         {14, advance},        {2, cut},          {2, heal},
         {2, pause},           {2, resume},       {1, kill},
         {2, restart},         {1, stop},         {1, list_leaving},
         {1, reset},           {1, crash_target}, {1, slow},
         {1, app_retries},     {1, change_table}, {1, set_platform},
         {1, disturb_control}, {1, surge}});
    return rc::gen::suchThat(any, [without](command_type type) { return !without.contains(type); });
}

rc::Gen<command_ptr> command_generator(const std::set<command_type>& without) {
    constexpr std::uint32_t limit = 48;
    const auto number = rc::gen::inRange<std::uint32_t>(0, limit);
    return rc::gen::map(
        rc::gen::tuple(type_generator(without), number, number),
        [](const std::tuple<command_type, std::uint32_t, std::uint32_t>& drawn) {
            const auto [type, x, y] = drawn;
            return command_ptr(std::make_shared<fleet_command>(command{type, x, y}));
        });
}

} // namespace

std::vector<violation> replay(std::uint64_t trial_seed, const std::vector<command>& commands) {
    trial sut(trial_seed);
    for (const auto& what : commands) {
        sut.run(what);
    }
    sut.finish();
    return sut.violations();
}

std::optional<fuzz_failure> fuzz(const fuzz_settings& settings) {
    std::optional<fuzz_failure> failure;
    const auto property = [&] {
        const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>());
        const fleet_model model;
        const auto commands = *rc::state::gen::commands(
            model, [&](const fleet_model&) { return command_generator(settings.without); });
        trial sut(seed);
        rc::state::runAll(commands, model, sut);
        sut.finish();
        if (sut.violations().empty()) {
            return;
        }
        // RapidCheck shrinks each failure to a shorter one, so the last is the shortest.
        failure = fuzz_failure{seed, {}, sut.violations(), sut.log()};
        for (const auto& one : commands) {
            failure->commands.push_back(static_cast<const fleet_command&>(*one).what());
        }
        RC_FAIL("an invariant does not hold");
    };
    rc::detail::TestParams params;
    params.seed = settings.seed;
    params.maxSuccess = settings.trials;
    params.maxSize = settings.max_commands;
    rc::detail::checkTestable(property, rc::detail::TestMetadata{}, params);
    return failure;
}

std::string to_string(const fuzz_failure& failure) {
    std::string text = fmt::format("trial seed {}\n", failure.trial_seed);
    for (const auto& one : failure.violations) {
        text += fmt::format("violated {}: {}\n", name_of(one.broken), one.detail);
    }
    for (const auto& what : failure.commands) {
        text += fmt::format("{{command_type::{}, {}, {}}},\n", name_of(what.type), what.x, what.y);
    }
    for (const auto& line : failure.log) {
        text += line + "\n";
    }
    return text;
}

} // namespace trefoil
