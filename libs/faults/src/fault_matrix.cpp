#include <trefoil/faults/fault_matrix.hpp>

#include <algorithm>
#include <array>
#include <map>

#include <fmt/format.h>

namespace trefoil {
namespace {

constexpr std::uint64_t cell_seed = 7;
constexpr std::uint32_t platform_domain_index = 3;
constexpr duration fault_duration = 3s;

command make(command_type type, std::uint32_t x = 0, std::uint32_t y = 0) {
    return {type, x, y};
}

std::uint32_t number_of(platform_mode mode) {
    return static_cast<std::uint32_t>(mode);
}

std::vector<command> commands_surge_and_retries() {
    std::vector<command> commands = {make(command_type::surge, 0, 60)};
    for (std::uint32_t i = 0; i < 4; ++i) {
        commands.push_back(make(command_type::resend, 0, i % 2));
    }
    return commands;
}

std::vector<fault> make_faults() {
    using enum command_type;
    return {
        {"deep service slows down", {make(slow, 4, 60), make(slow, 5, 60)}, false},
        {"demand surges", {make(surge, 0, 60)}, false},
        {"caller sends again hard",
         {make(resend, 0, 0), make(resend, 0, 1), make(resend, 0, 2), make(resend, 0, 0)},
         false},
        {"surge with callers sending again", commands_surge_and_retries(), false},
        {"targets repeat failed calls",
         {make(app_retries, 0, 3), make(app_retries, 2, 3), make(app_retries, 3, 3),
          make(crash_target, 4), make(crash_target, 5)},
         false},
        {"platform down", {make(set_platform, number_of(platform_mode::down))}, false},
        {"platform hangs", {make(set_platform, number_of(platform_mode::hanging))}, false},
        {"platform stale",
         {make(change_table), make(set_platform, number_of(platform_mode::stale))},
         false},
        {"platform serves garbage", {make(set_platform, number_of(platform_mode::garbage))}, false},
        {"table changes", {make(change_table)}, false},
        {"two table changes race", {make(change_table), make(change_table)}, false},
        {"control messages lost, doubled, reordered", {make(disturb_control, 1)}, false},
        {"all domains cut off",
         {make(cut, 0, 1), make(cut, 1, 2), make(cut, 0, 2), make(cut, 0, platform_domain_index),
          make(cut, 1, platform_domain_index), make(cut, 2, platform_domain_index)},
         false},
        {"caller's domain cut off", {make(cut, 0, 1), make(cut, 0, 2)}, false},
        {"caller withdraws", {make(withdraw, 0)}, false},
        {"a request crashes its targets and is sent again",
         {make(submit, 0, 3), make(advance, 4), make(resend, 1, 1), make(resend, 1, 0)},
         false},
        {"process pauses", {make(pause)}, true},
        {"process pauses and wakes up late", {make(pause), make(advance, 250), make(resume)}, true},
        {"process is killed", {make(kill)}, true},
        {"process is killed and restarted", {make(kill), make(advance, 1), make(restart)}, true},
        {"planned stop", {make(stop)}, true},
        {"listed as leaving", {make(list_leaving)}, true},
        {"target crashes", {make(crash_target)}, true},
        {"target slows down", {make(slow, 0, 60)}, true},
        {"connections are lost", {make(reset)}, true},
    };
}

std::size_t index_of(std::string_view name) {
    const auto& faults = all_faults();
    const auto found = std::find_if(faults.begin(), faults.end(),
                                    [&](const fault& one) { return one.name == name; });
    return static_cast<std::size_t>(found - faults.begin());
}

constexpr std::array<victim, 3> all_victims = {victim::edge, victim::middle, victim::deepest};

/// Indices of the nodes that serve a request, by their role.
struct request_route {
    std::map<victim, std::uint32_t> nodes;
};

/// Runs one request up to a step and calls the fault injection callback there once.
class staged_request {
public:
    staged_request(trial& fleet, request_kind kind, call_step step, std::function<void()> inject)
        : trial_(fleet), kind_(kind), step_(step), inject_(std::move(inject)) {
        trial_.observe_runs([this](const instance_id& at, const http_request& request,
                                   const call_context&) { on_run(at, request); });
        trial_.observe_actions(
            [this](const instance_id& at, const action& what) { on_action(at, what); });
    }

    /// Returns when the step has been reached, or after 2 s of simulated time.
    void run() {
        constexpr std::uint32_t blocking_slowness = 40;
        constexpr int blockers = 8;
        const auto& edge = trial_.nodes().front();
        if (step_ == call_step::queued) {
            // Slows service b and fills all slots of the edge node, so that the request queues.
            trial_.run(make(command_type::slow, 2, blocking_slowness));
            trial_.run(make(command_type::slow, 3, blocking_slowness));
            for (int i = 0; i < blockers; ++i) {
                trial_.submit(edge, request_kind::read);
            }
            trial_.advance(30ms);
        }
        submission_ = trial_.submit(edge, kind_);
        if (step_ == call_step::before_match) {
            inject_after(4ms);
        } else if (step_ == call_step::queued) {
            inject_after(10ms);
        }
        constexpr int most_rounds = 400;
        for (int i = 0; i < most_rounds && !was_reached_; ++i) {
            trial_.advance(5ms);
            if (step_ == call_step::after && trial_.has_ended(submission_)) {
                inject_after(1ms);
            }
        }
    }

    bool was_reached() const { return was_reached_; }
    std::uint64_t submission() const { return submission_; }
    const request_route& route() const { return route_; }

private:
    void on_run(const instance_id& at, const http_request& request) {
        if (submission_ == 0 || request.body != trial_.body_of(submission_)) {
            return;
        }
        const auto& nodes = trial_.nodes();
        const auto number =
            static_cast<std::uint32_t>(std::find(nodes.begin(), nodes.end(), at) - nodes.begin());
        const auto service = at.str().front();
        const auto role = service == 'a'   ? victim::edge
                          : service == 'b' ? victim::middle
                                           : victim::deepest;
        route_.nodes.try_emplace(role, number);
        if (step_ == call_step::running && role == victim::deepest) {
            inject_after(1ms);
        }
    }

    void on_action(const instance_id& at, const action& what) {
        if (submission_ == 0) {
            return;
        }
        const auto& body = trial_.body_of(submission_);
        if (const auto* attempt = std::get_if<start_attempt>(&what)) {
            const bool is_sent_to_peer = std::holds_alternative<peer_destination>(attempt->to) &&
                                         attempt->request->body == body;
            if (step_ == call_step::handed_on && is_sent_to_peer) {
                inject_after(0ms);
            }
            return;
        }
        const auto* response = std::get_if<send_response>(&what);
        if (response == nullptr || !response->answer) {
            return;
        }
        const auto& text = response->answer->body;
        const bool is_deep = at.str().front() == 'c' && text.find("(c " + body) == 0;
        const bool is_whole = text.find("(a " + body) == 0;
        if (step_ == call_step::answered && is_deep) {
            inject_after(0ms);
        } else if (step_ == call_step::answer_on_its_way && is_whole) {
            inject_after(4ms);
        }
    }

    void inject_after(duration delay) {
        if (is_armed_) {
            return;
        }
        is_armed_ = true;
        if (step_ == call_step::before_match || step_ == call_step::queued) {
            trial_.advance(delay);
            was_reached_ = true;
            inject_();
            return;
        }
        trial_.fleet().clock().after(delay, [this] {
            was_reached_ = true;
            inject_();
        });
    }

    trial& trial_;
    request_kind kind_;
    call_step step_;
    std::function<void()> inject_;
    std::uint64_t submission_ = 0;
    request_route route_;
    bool is_armed_ = false;
    bool was_reached_ = false;
};

// The role of each node in the request when no fault is injected.
const request_route& route_without_fault(request_kind kind, call_step step) {
    static std::map<std::pair<request_kind, call_step>, request_route> cache;
    const auto [found, is_new] = cache.try_emplace({kind, step});
    if (is_new) {
        trial fleet(cell_seed);
        staged_request request(fleet, kind, step, [] {});
        request.run();
        fleet.advance(2s);
        found->second = request.route();
    }
    return found->second;
}

// Replaces the placeholder numbers of a fault's command by those of the node and submission.
command resolve_command(command what, const trial& fleet, std::uint64_t observed, bool needs_victim,
                        std::uint32_t node) {
    if (needs_victim) {
        what.x = node;
    }
    if (what.type == command_type::resend || what.type == command_type::withdraw) {
        const auto submission = what.x == 0 ? observed : fleet.last_submission();
        what.x = static_cast<std::uint32_t>(submission - 1);
    }
    return what;
}

// Schedules the commands of a fault. An advance command delays those that follow it.
void inject(trial& fleet, const fault& what, std::uint64_t observed, std::uint32_t node) {
    duration delay{0};
    for (const auto& one : what.commands) {
        if (one.type == command_type::advance) {
            delay += one.x * 10ms;
            continue;
        }
        fleet.fleet().clock().after(delay, [&fleet, one, observed, what, node] {
            fleet.run(resolve_command(one, fleet, observed, what.needs_victim, node));
        });
    }
}

// Sends further requests during the fault, and sends the request under test again.
void send_background_requests(trial& fleet, std::uint64_t observed) {
    constexpr int rounds = 5;
    for (int i = 0; i < rounds; ++i) {
        fleet.advance(fault_duration / rounds);
        for (const auto& node : fleet.nodes()) {
            fleet.submit(node, i % 2 == 0 ? request_kind::read : request_kind::book);
        }
        if (i == 1) {
            fleet.run(make(command_type::resend, static_cast<std::uint32_t>(observed - 1), 1));
        }
    }
}

} // namespace

std::string_view name_of(call_step step) {
    constexpr std::array<std::string_view, call_step_count> names = {
        "before match", "queued", "handed on", "running", "answered", "answer on its way", "after"};
    return names.at(static_cast<std::size_t>(step));
}

std::string_view name_of(victim who) {
    constexpr std::array<std::string_view, 3> names = {"edge", "middle", "deepest"};
    return names.at(static_cast<std::size_t>(who));
}

const std::vector<fault>& all_faults() {
    static const std::vector<fault> faults = make_faults();
    return faults;
}

std::string faults_of(const matrix_cell& cell) {
    const auto one = [](std::size_t index, victim who) {
        const auto& what = all_faults()[index];
        return what.needs_victim ? fmt::format("{} ({})", what.name, name_of(who)) : what.name;
    };
    auto text = one(cell.first, cell.first_victim);
    if (cell.second) {
        text += " + " + one(*cell.second, cell.second_victim);
    }
    return text;
}

std::string to_string(const matrix_cell& cell) {
    return fmt::format("{}, {}: {}", name_of(cell.kind), name_of(cell.step), faults_of(cell));
}

std::vector<matrix_cell> all_cells() {
    const auto& faults = all_faults();
    std::vector<matrix_cell> cells;
    const auto add = [&](std::size_t first, victim first_victim, std::optional<std::size_t> second,
                         victim second_victim) {
        for (const auto kind : {request_kind::read, request_kind::book}) {
            for (std::size_t step = 0; step < call_step_count; ++step) {
                cells.push_back({kind, static_cast<call_step>(step), first, first_victim, second,
                                 second_victim});
            }
        }
    };
    for (std::size_t i = 0; i < faults.size(); ++i) {
        for (const auto who : all_victims) {
            if (faults[i].needs_victim || who == victim::edge) {
                add(i, who, std::nullopt, victim::edge);
            }
        }
    }
    // Pairs of a process fault with a fault of the network, the platform or the load.
    for (const auto* process :
         {"process pauses and wakes up late", "process is killed and restarted", "planned stop",
          "listed as leaving", "target crashes", "connections are lost"}) {
        for (const auto* environment :
             {"all domains cut off", "platform down", "platform stale", "two table changes race",
              "control messages lost, doubled, reordered", "surge with callers sending again",
              "targets repeat failed calls", "deep service slows down"}) {
            add(index_of(process), victim::middle, index_of(environment), victim::edge);
        }
        // Pairs of faults of two processes.
        for (const auto* other : {"process is killed", "planned stop", "process pauses"}) {
            add(index_of(process), victim::middle, index_of(other), victim::deepest);
        }
    }
    return cells;
}

cell_result run_cell(const matrix_cell& cell) {
    const auto& route = route_without_fault(cell.kind, cell.step);
    const auto node_of = [&](victim who) {
        const auto found = route.nodes.find(who);
        return found == route.nodes.end() ? static_cast<std::uint32_t>(who) * 2 : found->second;
    };
    trial fleet(cell_seed);
    staged_request request(fleet, cell.kind, cell.step, [&] {
        inject(fleet, all_faults()[cell.first], request.submission(), node_of(cell.first_victim));
        if (cell.second) {
            inject(fleet, all_faults()[*cell.second], request.submission(),
                   node_of(cell.second_victim));
        }
    });
    request.run();
    send_background_requests(fleet, request.submission());
    fleet.finish();
    return {cell, request.was_reached(), fleet.violations(), fleet.log()};
}

std::string to_markdown(const std::vector<cell_result>& results) {
    std::map<std::string, std::array<std::string, call_step_count>> rows;
    std::vector<std::string> order;
    std::size_t failed = 0;
    for (const auto& result : results) {
        const auto name = fmt::format("{} | {}", faults_of(result.cell), name_of(result.cell.kind));
        if (!rows.contains(name)) {
            order.push_back(name);
        }
        std::set<std::string_view> broken;
        for (const auto& one : result.violations) {
            broken.insert(name_of(one.broken));
        }
        failed += broken.empty() ? 0 : 1;
        auto text = std::string(broken.empty() ? "holds" : "");
        for (const auto one : broken) {
            text += fmt::format("{}**{}**", text.empty() ? "" : ", ", one);
        }
        rows[name][static_cast<std::size_t>(result.cell.step)] =
            result.was_reached ? text : "not reached";
    }
    std::string text = fmt::format("| fault | request |");
    std::string rule = "|---|---|";
    for (std::size_t step = 0; step < call_step_count; ++step) {
        text += fmt::format(" {} |", name_of(static_cast<call_step>(step)));
        rule += "---|";
    }
    text += "\n" + rule + "\n";
    for (const auto& name : order) {
        text += "| " + name + " |";
        for (const auto& cell : rows[name]) {
            text += " " + cell + " |";
        }
        text += "\n";
    }
    return fmt::format("{} cells, {} of them with a violation.\n\n{}", results.size(), failed,
                       text);
}

} // namespace trefoil
