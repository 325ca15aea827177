// Tells other nodes what was admitted of limited workspaces, and hears it from them.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <trefoil/http1/client.hpp>
#include <trefoil/http1/loop_timer.hpp>
#include <trefoil/http1/server.hpp>
#include <trefoil/quota/contact_order.hpp>

#include "proxy_state.hpp"

namespace trefoil {

/// Header field of messages about limits and of their answers, between proxies only.
inline constexpr std::string_view quota_field = "trefoil-quota";

/// One message at a time to one node, and its answer.
class quota_message_exchange {
public:
    /// Called once for each message, asynchronously, with the answer's status, or 0 if there is
    /// none, and its text.
    using answer_handler = std::function<void(int status, const std::string& text)>;

    explicit quota_message_exchange(proxy_state& state);
    quota_message_exchange(const quota_message_exchange&) = delete;
    quota_message_exchange& operator=(const quota_message_exchange&) = delete;

    void send(const std::string& address, const std::string& text, answer_handler on_answer);
    bool is_active() const { return on_answer_ != nullptr; }

private:
    void handle_event(const http1::exchange_event& event);
    void finish();

    proxy_state& state_;
    http1::loop_timer timer_;
    std::unique_ptr<http1::exchange> exchange_;
    answer_handler on_answer_;
    int status_ = 0;
    std::string text_;
};

/// Keeps the limits of proxy_state in step with the configuration and the listed nodes, and
/// exchanges messages. Each node reports to the first node of its failure domain that answers; that
/// one tells the same of the other domains. Sends nothing if no workspace has a limit.
class quota_exchange {
public:
    explicit quota_exchange(proxy_state& state);

    /// Sends the regular messages. To be called every 250 ms.
    void run_housekeeping();

    /// Handles a message of another node.
    void serve(http1::served_request& request);

    /// Returns the counters of workspaces and messages; an empty text if there are no limits.
    std::string metrics_text() const;

private:
    struct other_domain {
        domain_name name;
        contact_order contacts;
        std::unique_ptr<quota_message_exchange> messages;
    };

    void update_limits(time_point now);
    void update_nodes(time_point now);
    other_domain& domain_named(const domain_name& name);
    /// Reports, or gathers and tells the other domains.
    void exchange(bool is_regular);
    void tell_now();
    void report(time_point now, const std::string& address);
    void tell_domain(time_point now, other_domain& to, bool is_regular);
    const std::string& self() const { return state_.settings.target.ip; }

    proxy_state& state_;
    http1::loop_timer prompt_timer_;
    contact_order own_contacts_;
    quota_message_exchange reports_;
    std::vector<other_domain> others_;
    std::uint64_t version_ = 0;
    bool has_version_ = false;
    std::uint64_t runs_ = 0;
    time_point last_exchange_;
    time_point last_report_;
    std::uint64_t messages_sent_ = 0;
    std::uint64_t bytes_sent_ = 0;
};

} // namespace trefoil
