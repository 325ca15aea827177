#include <trefoil/http1/server.hpp>

#include <algorithm>

#include <uv.h>

#include "server_connection.hpp"
#include "server_listener.hpp"
#include "server_state.hpp"

namespace trefoil::http1 {

absl::StatusCode status_code(server_failure) {
    return absl::StatusCode::kUnavailable;
}

std::string_view name_of(server_failure) {
    return "cannot_listen";
}

class server::impl {
public:
    impl(uv_loop_t* loop, server_limits limits, request_handler on_request)
        : state_{loop, limits, std::move(on_request)},
          listener_([this](uv_stream_t* listening) { accept(listening); }) {}

    void accept(uv_stream_t* listening) {
        auto made = std::make_shared<server_connection>(state_);
        if (made->open(listening)) {
            state_.connections.emplace(made.get(), made);
        }
    }

    server_state state_;
    server_listener listener_;
};

server::server(std::unique_ptr<impl> made) : impl_(std::move(made)) {}

absl::StatusOr<std::unique_ptr<server>> server::listen(uv_loop_s* loop,
                                                       const endpoint& listen_address,
                                                       server_limits limits,
                                                       request_handler on_request) {
    std::unique_ptr<server> made(
        new server(std::make_unique<impl>(loop, limits, std::move(on_request))));
    const auto opened = made->impl_->listener_.open(loop, listen_address);
    if (!opened.ok()) {
        return opened;
    }
    return made;
}

server::~server() {
    const auto open = impl_->state_.connections;
    for (const auto& [key, open_connection] : open) {
        open_connection->close();
    }
}

void server::set_limits(server_limits limits) {
    impl_->state_.limits = limits;
}

void server::set_body_memory(const body_memory& memory) {
    impl_->state_.memory = &memory;
}

void server::set_cut_handler(cut_handler on_cut) {
    impl_->state_.on_cut = std::move(on_cut);
}

void server::close_connections_after_answers() {
    impl_->state_.closes_after_answers = true;
}

std::size_t server::pending() const {
    return impl_->state_.pending;
}

bool server::has_unread_answers() const {
    const auto& open = impl_->state_.connections;
    return std::any_of(open.begin(), open.end(),
                       [](const auto& entry) { return entry.second->has_unread_answers(); });
}

void server::report_unread_answers() const {
    for (const auto& [key, open_connection] : impl_->state_.connections) {
        if (open_connection->has_unread_answers()) {
            open_connection->report_cut(close_reason::not_taken);
        }
    }
}

void server::close_timed_out_connections() {
    const auto now = uv_now(impl_->state_.loop);
    const auto open = impl_->state_.connections;
    for (const auto& [key, open_connection] : open) {
        open_connection->check_timeouts(now);
    }
}

} // namespace trefoil::http1
