#include "incoming_body.hpp"

#include <utility>

#include "forward_body.hpp"

namespace trefoil {

bool incoming_body::take_for_start() {
    buffered_ += from_->take_body();
    note_held_bytes(nullptr);
    if (!from_->is_body_complete() && buffered_.size() <= max_buffered_bytes(memory_)) {
        return false;
    }
    is_complete_ = from_->is_body_complete();
    is_streamed_ = !is_complete_;
    return true;
}

std::string incoming_body::copy_for_attempt() {
    return is_streamed_ ? std::exchange(buffered_, {}) : buffered_;
}

void incoming_body::forward(attempt* running) {
    if (!is_released_ && !is_complete_ && running != nullptr) {
        is_complete_ = forward_body(*from_, *running, memory_);
    }
    note_held_bytes(running);
}

void incoming_body::note_held_bytes(const attempt* running) {
    const auto unsent = running != nullptr ? running->unsent_bytes() : 0;
    held_.set(is_released_ ? 0 : from_->body_size() + buffered_.capacity() + unsent);
}

void incoming_body::drop_buffered() {
    buffered_.clear();
    buffered_.shrink_to_fit();
}

void incoming_body::release() {
    is_released_ = true;
    drop_buffered();
    note_held_bytes(nullptr);
}

} // namespace trefoil
