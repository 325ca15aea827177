#include "reply_relay.hpp"

#include <trefoil/http1/header_rules.hpp>

namespace trefoil {

void reply_relay::begin(attempt_reply reply, const std::vector<http_header>& extra) {
    auto& head = reply.head;
    head.headers = end_to_end_headers(head.headers);
    head.headers.insert(head.headers.end(), extra.begin(), extra.end());
    if (reply.is_complete) {
        client_->respond(std::move(head), reply.body);
        return;
    }
    forwarded_bytes_ += reply.body.size();
    client_->begin(std::move(head));
    client_->write(reply.body);
}

void reply_relay::forward(std::string_view bytes, attempt& source) {
    forwarded_bytes_ += bytes.size();
    client_->write(bytes);
    if (client_->unsent_bytes() > max_unsent_bytes && !is_paused_) {
        is_paused_ = true;
        source.pause();
    }
}

void reply_relay::finish() {
    client_->finish();
}

void reply_relay::abort() {
    client_->abort();
}

void reply_relay::resume(attempt& source) {
    if (is_paused_ && client_->unsent_bytes() == 0) {
        is_paused_ = false;
        source.resume();
    }
}

relay_progress reply_relay::progress() const {
    return {forwarded_bytes_, client_->acknowledged_bytes(), client_->is_next()};
}

relay_wait reply_relay::waits_for() const {
    if (!client_->is_next()) {
        return relay_wait::earlier_responses;
    }
    return client_->unsent_bytes() > 0 ? relay_wait::client : relay_wait::source;
}

} // namespace trefoil
