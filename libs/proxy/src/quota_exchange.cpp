#include "quota_exchange.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include <fmt/format.h>

#include <trefoil/http1/header_rules.hpp>

#include "local_response.hpp"

namespace trefoil {
namespace {

/// Longest time to wait for an answer: that of one retransmission by TCP and some more.
constexpr duration answer_timeout = 350ms;
/// Least time between two exchanges.
constexpr duration min_gap = 50ms;
/// Longest time between two reports of a node that has nothing to tell; below max_news_age.
constexpr duration idle_report_interval = 700ms;
/// Regular exchanges between two messages to other domains that tell of all that is new.
constexpr std::uint64_t runs_per_full_report = 8;
/// Workspaces with counters of their own in the metrics.
constexpr std::size_t counted_workspaces = 20;
constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

} // namespace

quota_message_exchange::quota_message_exchange(proxy_state& state)
    : state_(state), timer_(state.loop, [this] {
          status_ = 0;
          finish();
      }) {}

void quota_message_exchange::send(const std::string& address, const std::string& text,
                                  answer_handler on_answer) {
    on_answer_ = std::move(on_answer);
    status_ = 0;
    text_.clear();
    http1::request_head head;
    head.method = "POST";
    head.target = "/";
    head.headers = {{std::string(quota_field), text}};
    http1::exchange_options options;
    options.connect_timeout = whole_ms(answer_timeout);
    timer_.start(answer_timeout);
    exchange_ = state_.peers.start(
        {address, state_.settings.peer_listener.port}, head, {}, true, std::move(options),
        [this](const http1::exchange_event& event) { handle_event(event); });
}

void quota_message_exchange::handle_event(const http1::exchange_event& event) {
    if (const auto* head = std::get_if<http1::response_head>(&event)) {
        status_ = head->status;
        text_ = std::string(find_header(head->headers, quota_field));
    } else if (std::holds_alternative<http1::message_end>(event)) {
        finish();
    } else if (std::holds_alternative<http1::exchange_failure>(event)) {
        status_ = 0;
        finish();
    }
}

void quota_message_exchange::finish() {
    timer_.stop();
    exchange_.reset();
    const auto on_answer = std::exchange(on_answer_, nullptr);
    on_answer(status_, text_);
}

quota_exchange::quota_exchange(proxy_state& state)
    : state_(state), prompt_timer_(state.loop, [this] { exchange(false); }), reports_(state) {
    state_.tell_quota_use = [this] { tell_now(); };
}

void quota_exchange::run_housekeeping() {
    const auto now = http1::boot_time();
    update_limits(now);
    if (state_.quotas.empty()) {
        return;
    }
    update_nodes(now);
    state_.quotas.check_limiting(now);
    ++runs_;
    exchange(true);
}

void quota_exchange::update_limits(time_point now) {
    if (state_.routes == nullptr || (has_version_ && state_.routes->config().version == version_)) {
        return;
    }
    has_version_ = true;
    version_ = state_.routes->config().version;
    const auto* workspaces = state_.routes->workspaces();
    state_.quotas.set_limits(now, workspaces == nullptr ? std::vector<workspace_entry>{}
                                                        : workspaces->all());
}

quota_exchange::other_domain& quota_exchange::domain_named(const domain_name& name) {
    const auto found = std::find_if(others_.begin(), others_.end(),
                                    [&](const auto& other) { return other.name == name; });
    if (found != others_.end()) {
        return *found;
    }
    others_.push_back({name, {}, std::make_unique<quota_message_exchange>(state_)});
    return others_.back();
}

void quota_exchange::update_nodes(time_point now) {
    std::map<domain_name, std::vector<std::string>> nodes;
    std::size_t count = 0;
    state_.directory.visit([&](const listed_instance& listed) {
        if (listed.state == listed_state::ready) {
            nodes[listed.domain].push_back(listed.target.ip);
            ++count;
        }
    });
    own_contacts_.set_nodes(state_.settings.domain, nodes[state_.settings.domain]);
    nodes.erase(state_.settings.domain);
    std::erase_if(others_, [&](const auto& other) { return !nodes.contains(other.name); });
    std::vector<domain_name> names;
    for (auto& [name, addresses] : nodes) {
        names.push_back(name);
        domain_named(name).contacts.set_nodes(name, std::move(addresses));
    }
    state_.quotas.set_fleet(now, count, std::move(names));
}

void quota_exchange::tell_now() {
    const auto past = http1::boot_time() - last_exchange_;
    prompt_timer_.start(past >= min_gap ? duration{0} : min_gap - past);
}

void quota_exchange::exchange(bool is_regular) {
    const auto now = http1::boot_time();
    last_exchange_ = now;
    auto& ledger = state_.quotas;
    const bool is_mine =
        own_contacts_.first(now) == self() || own_contacts_.first(now) == std::nullopt;
    if (is_mine && !ledger.should_gather(now, own_contacts_.size())) {
        own_contacts_.mark_failed(now, self(), contact_failure::refusing);
    }
    const auto first = own_contacts_.first(now);
    if (!first) {
        return;
    }
    if (*first == self()) {
        ledger.set_gathering(true);
        ledger.gather_own(now);
    } else {
        report(now, *first);
    }
    if (ledger.is_gathering()) {
        for (auto& other : others_) {
            tell_domain(now, other, is_regular);
        }
    }
    ledger.note_told();
}

void quota_exchange::report(time_point now, const std::string& address) {
    const auto told = state_.quotas.make_report();
    if (reports_.is_active() ||
        (told.entries.empty() && now - last_report_ < idle_report_interval)) {
        return;
    }
    last_report_ = now;
    const auto text = encode(told);
    ++messages_sent_;
    bytes_sent_ += text.size();
    reports_.send(address, text, [this, told, address](int status, const std::string& answered) {
        const auto answer = decode_node_answer(answered);
        const auto at = http1::boot_time();
        if (status == status_ok && answer) {
            own_contacts_.mark_answered(address);
            state_.quotas.set_gathering(false);
            state_.quotas.handle_answer(at, told, *answer);
            return;
        }
        own_contacts_.mark_failed(at, address,
                                  status == status_unavailable ? contact_failure::refusing
                                                               : contact_failure::silent,
                                  self());
    });
}

void quota_exchange::tell_domain(time_point now, other_domain& to, bool is_regular) {
    const auto first = to.contacts.first(now);
    if (!first || to.messages->is_active()) {
        return;
    }
    const bool is_full = is_regular && runs_ % runs_per_full_report == 0;
    const auto told =
        state_.quotas.make_domain_report(now, state_.settings.domain, to.name, is_full);
    if (told.entries.empty() && !is_regular) {
        return;
    }
    const auto text = encode(told);
    ++messages_sent_;
    bytes_sent_ += text.size();
    to.messages->send(
        *first, text,
        [this, told, name = to.name, address = *first](int status, const std::string&) {
            if (status == status_ok) {
                domain_named(name).contacts.mark_answered(address);
                state_.quotas.handle_delivery(name, told);
                return;
            }
            domain_named(name).contacts.mark_failed(
                http1::boot_time(), address,
                status == status_unavailable ? contact_failure::refusing : contact_failure::silent);
        });
}

void quota_exchange::serve(http1::served_request& request) {
    const auto now = http1::boot_time();
    const auto text = find_header(request.head().headers, quota_field);
    auto& ledger = state_.quotas;
    if (const auto told = decode_domain_report(text)) {
        const bool is_taken = !ledger.empty() && ledger.take_domain_report(now, *told);
        request.respond(local_response(is_taken ? status_ok : status_unavailable), {});
        return;
    }
    const auto report = decode_node_report(text);
    if (!report || ledger.empty() || state_.is_stopping || !ledger.may_gather(now)) {
        request.respond(local_response(report ? status_unavailable : 400), {});
        return;
    }
    // A node that nobody had asked passed itself over.
    own_contacts_.mark_answered(self());
    if (!ledger.is_gathering() && own_contacts_.first(now) == self()) {
        ledger.set_gathering(true);
    }
    if (!ledger.knows_whole(now)) {
        request.respond(local_response(status_unavailable), {});
        return;
    }
    auto head = local_response(status_ok);
    head.headers.push_back({std::string(quota_field), encode(ledger.take_report(now, *report))});
    request.respond(std::move(head), {});
    if (ledger.should_tell_domains_now()) {
        tell_now();
    }
}

std::string quota_exchange::metrics_text() const {
    if (state_.quotas.empty()) {
        return {};
    }
    return workspace_metrics(state_.quotas.largest(counted_workspaces)) +
           fmt::format("# TYPE trefoil_quota_messages_total counter\n"
                       "trefoil_quota_messages_total {}\n"
                       "# TYPE trefoil_quota_bytes_total counter\n"
                       "trefoil_quota_bytes_total {}\n",
                       messages_sent_, bytes_sent_);
}

} // namespace trefoil
