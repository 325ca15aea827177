#include <trefoil/http1/client.hpp>

#include <algorithm>

#include "client_pool.hpp"

namespace trefoil::http1 {
namespace {

/// An idle connection is closed this long before the timeout that the peer announced, so that no
/// request is sent while the peer closes the connection.
constexpr std::chrono::milliseconds keep_alive_margin{700};

/// Two addresses at which connections fall silent within this time suggest that others have too.
constexpr std::uint64_t silence_correlation_ms = 1000;

} // namespace

std::string_view name_of(answer_fault fault) {
    switch (fault) {
    case answer_fault::none:
        return "none";
    case answer_fault::malformed:
        return "malformed";
    case answer_fault::truncated:
        return "truncated";
    case answer_fault::bad_status:
        return "bad_status";
    case answer_fault::bad_field:
        return "bad_field";
    case answer_fault::bad_version:
        return "bad_version";
    case answer_fault::bad_reason:
        return "bad_reason";
    case answer_fault::bad_line_end:
        return "bad_line_end";
    case answer_fault::bad_coding:
        return "bad_coding";
    case answer_fault::endless:
        return "endless";
    case answer_fault::mixed:
        return "mixed";
    }
    return "unknown";
}

std::string_view name_of(discard_cause cause) {
    switch (cause) {
    case discard_cause::foreign_id:
        return "foreign_id";
    case discard_cause::no_id:
        return "no_id";
    case discard_cause::not_asked:
        return "not_asked";
    }
    return "unknown";
}

std::unique_ptr<exchange> client::impl::start(const endpoint& to, const request_head& head,
                                              std::string_view body, bool is_complete,
                                              exchange_options options, handler on_event) {
    const auto id = options.identity ? options.identity->id : std::string();
    const bool is_head = head.method == "HEAD";
    auto assigned_connection = is_head ? nullptr : take_idle(to, options.max_idle_time, id);
    if (assigned_connection == nullptr) {
        const auto number = ++counts_.connections_opened;
        assigned_connection = std::make_shared<connection>(weak_from_this(), to, number);
        assigned_connection->open(loop_);
    }
    ++counts_.requests;
    auto made = std::make_unique<active_exchange>(shared_from_this(), assigned_connection,
                                                  std::move(on_event), head.framing);
    assigned_connection->start_request(uv_now(loop_), options.acknowledgement_timeout);
    assigned_connection->attach(made.get(), is_head, std::move(options.identity));
    made->send_request(to_bytes(head), body, is_complete, options.connect_timeout);
    return made;
}

std::shared_ptr<client::impl::connection>
client::impl::take_idle(const endpoint& to, std::chrono::milliseconds max_idle,
                        const std::string& id) {
    const auto found = idle_.find(to);
    if (found == idle_.end()) {
        return nullptr;
    }
    auto& idle_connections = found->second;
    const auto now = uv_now(loop_);
    for (auto at = idle_connections.end(); at != idle_connections.begin();) {
        auto last = *--at;
        const bool is_fresh = now < last->idle_until() && last->stream_ != nullptr;
        if (is_fresh && now - last->idle_since() > static_cast<std::uint64_t>(max_idle.count())) {
            return nullptr;
        }
        if (is_fresh && last->has_carried(id)) {
            continue;
        }
        at = idle_connections.erase(at);
        if (is_fresh) {
            return last;
        }
        last->stream_.reset();
    }
    return nullptr;
}

void client::impl::add_idle(const std::shared_ptr<connection>& released) {
    auto timeout = limits_.idle_timeout;
    if (const auto announced = released->peer_timeout()) {
        timeout = std::min(timeout, *announced > keep_alive_margin ? *announced - keep_alive_margin
                                                                   : std::chrono::milliseconds(0));
    }
    released->set_idle(uv_now(loop_), static_cast<std::uint64_t>(timeout.count()));
    auto& idle_connections = idle_[released->to()];
    if (idle_connections.size() >= limits_.max_idle_connections) {
        idle_connections.front()->stream_.reset();
        idle_connections.pop_front();
    }
    idle_connections.push_back(released);
}

void client::impl::remove_idle(const connection* closed_connection) {
    const auto found = idle_.find(closed_connection->to());
    if (found != idle_.end()) {
        std::erase_if(found->second, [&](const auto& idle_connections) {
            return idle_connections.get() == closed_connection;
        });
    }
}

void client::impl::close_idle_since(std::deque<std::shared_ptr<connection>>& idle_connections,
                                    std::uint64_t since) {
    std::erase_if(idle_connections, [&](const std::shared_ptr<connection>& idle_connection) {
        const bool is_unused = idle_connection->idle_since() <= since;
        if (is_unused) {
            idle_connection->stream_.reset();
        }
        return is_unused;
    });
}

void client::impl::handle_silence(const endpoint& where, std::uint64_t since) {
    const auto now = uv_now(loop_);
    const bool is_elsewhere_too =
        silent_address_ && *silent_address_ != where && now - silent_at_ <= silence_correlation_ms;
    silent_address_ = where;
    silent_at_ = now;
    for (auto& [address, idle_connections] : idle_) {
        if (is_elsewhere_too || address == where) {
            close_idle_since(idle_connections, since);
        }
    }
}

void client::impl::close_expired_connections() {
    const auto now = uv_now(loop_);
    for (auto at = idle_.begin(); at != idle_.end();) {
        auto& idle_connections = at->second;
        while (!idle_connections.empty() && idle_connections.front()->idle_until() <= now) {
            idle_connections.front()->stream_.reset();
            idle_connections.pop_front();
        }
        at = idle_connections.empty() ? idle_.erase(at) : std::next(at);
    }
}

client::client(uv_loop_s* loop, connection_pool_limits limits)
    : impl_(std::make_shared<impl>(loop, limits)) {}

client::~client() {
    impl_->idle_.clear();
}

std::unique_ptr<exchange> client::start(const endpoint& to, const request_head& head,
                                        std::string_view body, bool is_complete,
                                        exchange_options options, handler on_event) {
    return impl_->start(to, head, body, is_complete, std::move(options), std::move(on_event));
}

void client::set_discard_handler(discard_handler on_discarded) {
    impl_->on_discarded_ = std::move(on_discarded);
}

void client::close_expired_connections() {
    impl_->close_expired_connections();
}

const client_counts& client::counts() const {
    return impl_->counts_;
}

} // namespace trefoil::http1
