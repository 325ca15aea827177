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
    case log_class::state:
        return rates_.state;
    case log_class::trouble:
        return rates_.trouble;
    case log_class::routine:
        return rates_.routine;
    }
    return 0;
}

bool log_queue::admits(time_point now, log_class kind) {
    if (now - second_began_ >= 1s) {
        second_began_ = now;
        in_second_ = {};
    }
    auto& count = in_second_[static_cast<std::size_t>(kind)];
    if (count >= rate_of(kind)) {
        dropped_ += kind == log_class::routine ? 0 : 1;
        return false;
    }
    ++count;
    return true;
}

void log_queue::add(const log_record& record) {
    if (held_.size() > max_held_bytes) {
        ++dropped_;
        return;
    }
    held_ += timestamped(record);
    held_ += '\n';
}

void log_queue::flush(time_point now) {
    if (dropped_ > reported_ && now - second_began_ < 1s && held_.size() < max_held_bytes) {
        const auto count = dropped_ - reported_;
        reported_ = dropped_;
        add({log_event::log_lines_dropped, {{"count", std::to_string(count)}}});
    }
    while (!held_.empty()) {
        const auto written = ::write(descriptor_, held_.data(), held_.size());
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return;
        }
        held_.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace trefoil
