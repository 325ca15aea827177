#include "crash_detector.hpp"

#include <charconv>

#include <fmt/format.h>

#include <trefoil/base/hash.hpp>

namespace trefoil {
namespace {

/// Connection losses within this time are attributed to the same crash.
constexpr duration collection_time = 30ms;
constexpr int hexadecimal = 16;

} // namespace

std::string encode_crash_notice(const crash_notice& notice) {
    auto text = fmt::format("{:x}", notice.crash_id);
    for (const auto request : notice.requests) {
        text += fmt::format(" {:x}", request);
    }
    return text;
}

crash_notice decode_crash_notice(std::string_view text) {
    crash_notice notice;
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
            notice.crash_id = value;
        } else {
            notice.requests.push_back(value);
        }
        is_first = false;
        at = read.ptr == end ? end : read.ptr + 1;
    }
    return notice;
}

crash_detector::crash_detector(uv_loop_s* loop, endpoint target, std::uint64_t seed,
                               crash_handler on_crash)
    : loop_(loop), target_(std::move(target)), next_crash_id_(seed), on_crash_(std::move(on_crash)),
      timer_(loop, [this] { probe_target(); }) {}

time_point crash_detector::now() const {
    return http1::loop_time(loop_);
}

void crash_detector::report_lost(request_fingerprint request) {
    if (lost_requests_.empty()) {
        timer_.start(collection_time);
    }
    lost_requests_.push_back(request);
}

void crash_detector::report_completed(request_fingerprint request) {
    if (!record_.empty()) {
        record_.completed(request);
    }
}

void crash_detector::probe_target() {
    probe_ = http1::tcp_stream::connect(loop_, target_,
                                        {[this] { finish_probe(true); },
                                         {},
                                         [this](http1::close_reason) { finish_probe(false); },
                                         {}});
}

void crash_detector::finish_probe(bool is_alive) {
    probe_.reset();
    crash_notice notice{mix_hash(next_crash_id_++, 1), std::move(lost_requests_)};
    lost_requests_.clear();
    if (is_alive) {
        return;
    }
    receive_notice(notice);
    on_crash_(notice);
}

void crash_detector::receive_notice(const crash_notice& notice) {
    for (const auto request : notice.requests) {
        record_.record_crash(now(), request, notice.crash_id);
    }
}

bool crash_detector::is_blocked(request_fingerprint request) const {
    return !record_.empty() && record_.is_blocked(now(), request);
}

} // namespace trefoil
