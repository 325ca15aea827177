#include "crash_detector.hpp"

#include <charconv>

#include <fmt/format.h>

#include <trefoil/base/hash.hpp>

namespace trefoil {
namespace {

/// Losses of one death come within this time.
constexpr duration gathering_time = 30ms;
constexpr int hexadecimal = 16;

} // namespace

std::string encode_notice(const death_notice& notice) {
    auto text = fmt::format("{:x}", notice.death);
    for (const auto request : notice.requests) {
        text += fmt::format(" {:x}", request);
    }
    return text;
}

death_notice decode_notice(std::string_view text) {
    death_notice notice;
    const auto* at = text.data();
    const auto* end = text.data() + text.size();
    bool is_first = true;
    while (at < end) {
        std::uint64_t value = 0;
        const auto read = std::from_chars(at, end, value, hexadecimal);
        const bool is_separated = read.ptr == end || *read.ptr == ' ';
        if (read.ec != std::errc() || !is_separated) {
            return {};
        }
        if (is_first) {
            notice.death = value;
        } else {
            notice.requests.push_back(value);
        }
        is_first = false;
        at = read.ptr == end ? end : read.ptr + 1;
    }
    return notice;
}

crash_watch::crash_watch(uv_loop_s* loop, endpoint target, std::uint64_t seed,
                         death_handler on_death)
    : loop_(loop), target_(std::move(target)), next_death_(seed), on_death_(std::move(on_death)),
      timer_(loop, [this] { look(); }) {}

time_point crash_watch::now() const {
    return http1::loop_time(loop_);
}

void crash_watch::lost(request_print request) {
    if (lost_.empty()) {
        timer_.start(gathering_time);
    }
    lost_.push_back(request);
}

void crash_watch::completed(request_print request) {
    if (!record_.empty()) {
        record_.completed(request);
    }
}

void crash_watch::look() {
    trial_ = http1::tcp_stream::connect(
        loop_, target_,
        {[this] { decide(true); }, {}, [this](http1::stream_end) { decide(false); }, {}});
}

void crash_watch::decide(bool is_alive) {
    trial_.reset();
    death_notice notice{mix_hash(next_death_++, 1), std::move(lost_)};
    lost_.clear();
    if (is_alive) {
        return;
    }
    hear(notice);
    on_death_(notice);
}

void crash_watch::hear(const death_notice& notice) {
    for (const auto request : notice.requests) {
        record_.died(now(), request, notice.death);
    }
}

bool crash_watch::is_blocked(request_print request) const {
    return !record_.empty() && record_.is_blocked(now(), request);
}

} // namespace trefoil
