#include <trefoil/base/log_queue.hpp>

#include <cerrno>

#include <fcntl.h>
#include <unistd.h>

namespace trefoil {

log_queue::log_queue(int descriptor, log_rates rates) : descriptor_(descriptor), rates_(rates) {
    const int flags = fcntl(descriptor_, F_GETFL);
    if (flags >= 0) {
        fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
    }
}

std::uint32_t log_queue::rate_of(log_class kind) const {
    switch (kind) {
    case log_class::state_change:
        return rates_.state_change;
    case log_class::failure:
        return rates_.failure;
    case log_class::success:
        return rates_.success;
    }
    return 0;
}

bool log_queue::try_reserve(time_point now, log_class kind) {
    if (now - window_start_ >= 1s) {
        window_start_ = now;
        records_in_window_ = {};
    }
    auto& count = records_in_window_[static_cast<std::size_t>(kind)];
    if (count >= rate_of(kind)) {
        dropped_ += kind == log_class::success ? 0 : 1;
        return false;
    }
    ++count;
    return true;
}

void log_queue::add(const log_record& record) {
    if (buffer_.size() > max_buffered_bytes) {
        ++dropped_;
        return;
    }
    buffer_ += timestamped(record);
    buffer_ += '\n';
}

void log_queue::flush(time_point now) {
    if (dropped_ > reported_dropped_ && now - window_start_ < 1s &&
        buffer_.size() < max_buffered_bytes) {
        const auto count = dropped_ - reported_dropped_;
        reported_dropped_ = dropped_;
        add({log_event::log_lines_dropped, {{"count", std::to_string(count)}}});
    }
    while (!buffer_.empty()) {
        const auto written = ::write(descriptor_, buffer_.data(), buffer_.size());
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return;
        }
        buffer_.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace trefoil
