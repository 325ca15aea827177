#include <trefoil/faults/trial.hpp>

#include <algorithm>
#include <array>

#include <fmt/format.h>

namespace trefoil {
namespace {

constexpr std::uint32_t read_retries = 3;
constexpr std::uint32_t book_retries = 2;
constexpr std::uint32_t fan_retries = 1;
constexpr std::uint32_t slots = 4;
constexpr std::uint32_t backlog = 20;
constexpr int max_key_resends = 3;

struct kind_properties {
    std::string_view method;
    std::string_view path;
    std::uint32_t retries;
    bool once;
};

kind_properties properties_of(request_kind kind) {
    switch (kind) {
    case request_kind::read:
        return {"GET", "/read", read_retries, false};
    case request_kind::book:
        return {"POST", "/book", book_retries, true};
    case request_kind::fan:
        return {"GET", "/fan", fan_retries, false};
    case request_kind::crash:
        return {"GET", "/poison", read_retries, false};
    }
    return {};
}

service_work work_of(const service_name& service, const std::string& path) {
    service_work work;
    work.compute = 5ms;
    const service_name b("b");
    const service_name c("c");
    if (service.str() == "a") {
        if (path == "/read") {
            work.children = {{b, "GET", path}, {c, "GET", path}};
        } else if (path == "/book") {
            work.children = {{b, "POST", path}};
        } else if (path == "/fan") {
            work.children = {{b, "GET", "/leaf"}, {c, "GET", "/leaf"}};
            work.in_parallel = true;
        } else if (path == "/poison") {
            work.children = {{b, "GET", "/crash"}};
        }
    } else if (service.str() == "b" && (path == "/read" || path == "/book")) {
        work.children = {{c, path == "/book" ? "POST" : "GET", path}};
    }
    return work;
}

std::string answer_of(std::string_view service, const std::string& body,
                      const std::string& children) {
    return fmt::format("({} {}{})", service, body, children);
}

std::set<std::string> answers_of(request_kind kind, const std::string& body) {
    const auto b = answer_of("b", body, "");
    const auto c = answer_of("c", body, "");
    const auto b_calls_c = answer_of("b", body, c);
    switch (kind) {
    case request_kind::read:
        return {answer_of("a", body, b_calls_c + c)};
    case request_kind::book:
        return {answer_of("a", body, b_calls_c)};
    case request_kind::fan:
        return {answer_of("a", body, b + c), answer_of("a", body, c + b)};
    case request_kind::crash:
        return {};
    }
    return {};
}

// The versions differ only in cells that do not affect the results that the oracle expects.
std::string table_text(std::uint32_t version) {
    const auto deadline = 1500 + version % 5 * 100;
    const auto fan_limit = version % 3 == 2 ? 0 : 100;
    return fmt::format("kind,service,method,path,priority,weight,deadline_ms,retries,"
                       "max_in_flight,once,max_bytes,slo_percent\n"
                       "read,a,GET,/read,1,5,{0},{1},100,no,1000,99\n"
                       "book,a,POST,/book,0,9,{0},{2},100,yes,1000,99\n"
                       "fan,a,GET,/fan,8,1,{0},{3},{4},no,1000,90\n"
                       "default,*,*,*,5,1,{0},{1},100,no,1000,99\n",
                       deadline, read_retries, book_retries, fan_retries, fan_limit);
}

fleet_member make_member(const std::string& name, const std::string& domain, std::uint16_t port) {
    fleet_member member;
    member.core.self = instance_id(name);
    member.core.service = service_name(name.substr(0, 1));
    member.core.domain = domain_name(domain);
    member.core.region = region_name("r");
    member.core.peer_address = {"127.0.0.1", port};
    member.core.admission.slots = slots;
    member.core.admission.connections = slots + backlog;
    member.core.admission.queue_per_slot = 2;
    member.target.slots = slots;
    member.target.backlog = backlog;
    return member;
}

} // namespace

std::string_view name_of(request_kind kind) {
    constexpr std::array<std::string_view, 4> names = {"read", "book", "fan", "crash"};
    return names.at(static_cast<std::size_t>(kind));
}

std::string_view name_of(command_type type) {
    constexpr std::array<std::string_view, command_type_count> names = {
        "submit",          "resend",       "withdraw",
        "advance",         "cut",          "heal",
        "pause",           "resume",       "kill",
        "restart",         "stop",         "list_leaving",
        "reset",           "crash_target", "slow",
        "app_retries",     "change_table", "set_platform",
        "disturb_control", "surge"};
    return names.at(static_cast<std::size_t>(type));
}

std::string to_string(const command& what) {
    return fmt::format("{} {} {}", name_of(what.type), what.x, what.y);
}

trial::trial(std::uint64_t seed) : fleet_(network_settings{}, work_of, seed) {
    constexpr std::array<std::pair<const char*, const char*>, 6> layout = {
        {{"a1", "d1"}, {"a2", "d2"}, {"b1", "d2"}, {"b2", "d3"}, {"c1", "d3"}, {"c2", "d1"}}};
    fleet_.observe_runs(
        [this](const instance_id& at, const http_request& request, const call_context& context) {
            append_log(fmt::format("  {} runs {} {}", at.str(), request.path, request.body));
            oracle_.record_run(fleet_.clock().now(), at, service_name(at.str().substr(0, 1)),
                               request.body);
            if (on_run_) {
                on_run_(at, request, context);
            }
        });
    fleet_.observe_actions([this](const instance_id& at, const action& what) {
        oracle_.record_action(at, what);
        if (on_action_) {
            on_action_(at, what);
        }
    });
    fleet_.observe_calls(
        [this](const instance_id&, const request_ptr& request, const call_context& context) {
            oracle_.record_child_call(request, context);
        });
    std::uint16_t port = 0;
    for (const auto& [name, domain] : layout) {
        nodes_.emplace_back(name);
        domain_of_.emplace(name, domain);
        fleet_.add(make_member(name, domain, ++port));
    }
    domains_ = {"d1", "d2", "d3", virtual_fleet::platform_domain};
    publish_table();
    fleet_.publish_members();
    advance(2s);
}

void trial::append_log(std::string line) {
    log_.push_back(fmt::format("{:9.3f} ms {}", to_ms(fleet_.clock().now().time_since_epoch()),
                               std::move(line)));
}

void trial::publish_table() {
    fleet_.publish(document_id::table, table_text(table_version_++));
}

const std::string& trial::body_of(std::uint64_t submission) const {
    return requests_.at(submission).body;
}
bool trial::has_ended(std::uint64_t submission) const {
    return requests_.at(submission).has_ended;
}
bool trial::is_answered(std::uint64_t submission) const {
    return requests_.at(submission).is_answered;
}

std::uint64_t trial::submit(const instance_id& node, request_kind kind) {
    const auto submission = ++last_submission_;
    request_record record;
    record.kind = kind;
    record.node = node;
    record.body = fmt::format("<{}>", submission);
    requests_.emplace(submission, record);
    send(submission);
    return submission;
}

void trial::send(std::uint64_t submission) {
    auto& record = requests_.at(submission);
    const auto properties = properties_of(record.kind);
    oracle_.record_submission(submission, {record.body, answers_of(record.kind, record.body),
                                           properties.once, properties.retries});
    append_log(fmt::format("submission {} of {} {} to {}{}", submission, name_of(record.kind),
                           record.body, record.node.str(),
                           record.key.empty() ? "" : " with its key"));
    http_request request;
    request.method = properties.method;
    request.path = properties.path;
    request.service = service_name("a");
    request.body = record.body;
    request.idempotency_key = record.key;
    request.caller = "caller";
    fleet_.submit(record.node, std::move(request), [this, submission](const caller_result& result) {
        on_result(submission, result);
    });
}

void trial::on_result(std::uint64_t submission, const caller_result& result) {
    auto& record = requests_.at(submission);
    if (record.has_ended) {
        oracle_.record_result(submission, result);
        return;
    }
    append_log(fmt::format("submission {} ends: {} {} {} {}", submission, result.status,
                           name_of(result.info.result), name_of(result.info.reason), result.body));
    oracle_.record_result(submission, result);
    const bool resends_with_key = !result.idempotency_key.empty() &&
                                  record.key_resends < max_key_resends && record.key.empty();
    record.has_ended = true;
    record.is_answered = result.status == 200;
    if (resends_with_key) {
        record.key = result.idempotency_key;
        ++record.key_resends;
        resend(static_cast<std::uint32_t>(submission - 1), record.node);
    }
}

void trial::resend(std::uint32_t which, const instance_id& node) {
    if (requests_.empty()) {
        return;
    }
    const auto& first = requests_.at(which % requests_.size() + 1);
    if (properties_of(first.kind).once && first.key.empty()) {
        return; // Without a key, the fleet would treat the second submission as a new request.
    }
    const auto submission = ++last_submission_;
    auto record = first;
    record.node = node;
    record.has_ended = false;
    record.is_answered = false;
    requests_.emplace(submission, record);
    send(submission);
}

void trial::advance(duration time) {
    constexpr duration check_interval = 50ms;
    const auto end = fleet_.clock().now() + time;
    while (fleet_.clock().now() < end) {
        fleet_.clock().run_until(std::min(end, fleet_.clock().now() + check_interval));
        check_nodes();
    }
}

void trial::check_nodes() {
    for (const auto& node : nodes_) {
        if (!fleet_.is_running(node)) {
            continue;
        }
        const auto status = fleet_.core(node).status();
        const auto run = runs_of_node_[node];
        oracle_.record_revision(node, run, document_id::table, status.table.held);
        oracle_.record_revision(node, run, document_id::instances, status.instances.held);
    }
    oracle_.record_aborted_by_exit(fleet_.aborted_by_exit());
    update_leaving();
}

bool trial::is_platform_reachable(const instance_id& node) const {
    return mode_ == platform_mode::serving && !cut_from_platform_.contains(domain_of_.at(node));
}

// The leaving time of a node starts when the node can learn that it is leaving: not while it is
// paused, or listed as leaving while the platform is unreachable.
void trial::update_leaving() {
    for (const auto& node : nodes_) {
        const bool is_informed = stopping_.contains(node) ||
                                 (listed_leaving_.contains(node) && is_platform_reachable(node));
        if (is_informed && !paused_.contains(node) && fleet_.is_running(node)) {
            oracle_.set_leaving(node, fleet_.clock().now());
        } else {
            oracle_.set_leaving(node, std::nullopt);
        }
    }
}

void trial::run(const command& what) {
    append_log(to_string(what));
    const auto& target = node(what.x);
    const auto& one = domains_[what.x % domains_.size()];
    const auto& other = domains_[what.y % domains_.size()];
    const bool has_requests = last_submission_ > 0;
    switch (what.type) {
    case command_type::submit:
        submit(target, all_kinds[what.y % std::size(all_kinds)]);
        break;
    case command_type::resend:
        resend(what.x, node(what.y));
        break;
    case command_type::withdraw:
        if (has_requests) {
            const auto submission = what.x % last_submission_ + 1;
            if (!requests_.at(submission).has_ended) {
                requests_.at(submission).has_ended = true;
                oracle_.record_withdrawal(submission);
                fleet_.withdraw(submission);
            }
        }
        break;
    case command_type::advance:
        advance(what.x * 10ms);
        break;
    case command_type::cut:
        if (one != other) {
            fleet_.cut(one, other);
            for (const auto& [end, far] : {std::pair(one, other), std::pair(other, one)}) {
                if (far == virtual_fleet::platform_domain) {
                    cut_from_platform_.insert(end);
                }
            }
        }
        break;
    case command_type::heal:
        fleet_.heal(one, other);
        if (one == virtual_fleet::platform_domain) {
            cut_from_platform_.erase(other);
        } else if (other == virtual_fleet::platform_domain) {
            cut_from_platform_.erase(one);
        }
        break;
    case command_type::pause:
        if (fleet_.is_running(target)) {
            fleet_.pause(target);
            paused_.insert(target);
        }
        break;
    case command_type::resume:
        paused_.erase(target);
        fleet_.resume(target);
        break;
    case command_type::kill:
        fleet_.kill(target);
        paused_.erase(target);
        break;
    case command_type::restart:
        fleet_.restart(target);
        ++runs_of_node_[target];
        paused_.erase(target);
        stopping_.erase(target);
        fleet_.publish_members(listed_leaving_);
        break;
    case command_type::stop:
        fleet_.stop(target);
        if (fleet_.is_running(target)) {
            stopping_.insert(target);
        }
        break;
    case command_type::list_leaving:
        listed_leaving_.insert(target);
        fleet_.publish_members(listed_leaving_);
        break;
    case command_type::reset:
        if (fleet_.is_running(target)) {
            fleet_.reset_connections(target);
        }
        break;
    case command_type::crash_target:
        if (fleet_.target(target).is_up()) {
            fleet_.target(target).crash();
        }
        break;
    case command_type::slow:
        fleet_.target(target).set_slowness(what.y);
        break;
    case command_type::app_retries:
        fleet_.target(target).set_app_retries(what.y % 4);
        break;
    case command_type::change_table:
        publish_table();
        break;
    case command_type::set_platform:
        mode_ = static_cast<platform_mode>(what.x % 5);
        fleet_.set_platform(mode_);
        break;
    case command_type::disturb_control:
        fleet_.network().control_loss = what.x % 2 == 1 ? 0.3 : 0;
        fleet_.network().control_duplicates = what.x % 2 == 1 ? 0.3 : 0;
        fleet_.network().control_jitter = what.x % 2 == 1 ? 300ms : 0ms;
        break;
    case command_type::surge:
        for (std::uint32_t i = 0; i < what.y; ++i) {
            submit(target, request_kind::fan);
        }
        break;
    }
    update_leaving();
}

void trial::clear_faults() {
    append_log("all faults end");
    fleet_.heal_all();
    cut_from_platform_.clear();
    mode_ = platform_mode::serving;
    fleet_.set_platform(mode_);
    run({command_type::disturb_control, 0, 0});
    for (const auto& node : nodes_) {
        paused_.erase(node);
        fleet_.resume(node);
        fleet_.target(node).set_slowness(1);
        fleet_.target(node).set_app_retries(0);
    }
}

void trial::restart_stopped_nodes() {
    for (const auto& node : nodes_) {
        if (stopping_.contains(node) && fleet_.is_running(node)) {
            oracle_.report(invariant::nothing_is_left,
                           fmt::format("{} has not exited after a stop request", node.str()));
        }
        if (!fleet_.is_running(node)) {
            fleet_.restart(node);
            ++runs_of_node_[node];
        }
    }
    stopping_.clear();
    listed_leaving_.clear();
    table_version_ = 0;
    publish_table();
    fleet_.publish_members();
}

void trial::check_convergence() {
    for (const auto& node : nodes_) {
        const auto status = fleet_.core(node).status();
        for (const auto document : all_documents) {
            const auto held =
                document == document_id::table ? status.table.held : status.instances.held;
            const auto published = fleet_.published(document);
            if (held != published) {
                oracle_.report(
                    invariant::nodes_agree,
                    fmt::format("{} holds revision {} of the {}, the published revision is {}",
                                node.str(), held.value, name_of(document), published.value));
            }
        }
    }
}

void trial::check_recovery() {
    constexpr int rounds = 10;
    std::vector<std::uint64_t> probes;
    for (int round = 0; round < rounds; ++round) {
        probes.clear();
        for (const auto& node : nodes_) {
            for (const auto kind : {request_kind::read, request_kind::book, request_kind::fan}) {
                probes.push_back(submit(node, kind));
                advance(100ms);
                // A request that is issued a key continues in a new submission.
                probes.back() =
                    requests_.at(probes.back()).key.empty() ? probes.back() : last_submission_;
            }
        }
        advance(3s);
        if (std::all_of(probes.begin(), probes.end(), [&](auto id) { return is_answered(id); })) {
            return;
        }
    }
    for (const auto id : probes) {
        if (!is_answered(id)) {
            const auto& record = requests_.at(id);
            oracle_.report(
                invariant::service_recovers,
                fmt::format("a {} at {} is not answered", name_of(record.kind), record.node.str()));
        }
    }
}

void trial::finish() {
    clear_faults();
    advance(quiet_time);
    restart_stopped_nodes();
    advance(agreement_time);
    check_convergence();
    check_recovery();
    oracle_.check_quiescent();
    for (const auto& node : nodes_) {
        const auto calls = fleet_.core(node).status().calls;
        if (calls > 0) {
            oracle_.report(invariant::nothing_is_left,
                           fmt::format("{} holds {} calls", node.str(), calls));
        }
    }
}

} // namespace trefoil
