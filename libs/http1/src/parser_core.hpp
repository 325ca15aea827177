// Common base of the request and response parsers.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <http_parser.h>

#include <trefoil/http1/message.hpp>

namespace trefoil::http1 {

/// Converts the callbacks of http_parser into events of type Event. It collects the header fields
/// of a message into a Head; the `fill` function then sets the members that depend on the type of
/// the message.
template <class Head, class Event>
class parser_core {
public:
    using head_filler = void (*)(Head&, const http_parser&);

    parser_core(http_parser_type type, std::size_t max_head_bytes, head_filler fill)
        : max_head_bytes_(max_head_bytes), fill_(fill) {
        http_parser_init(&parser_, type);
        parser_.data = this;
        http_parser_settings_init(&settings_);
        settings_.on_message_begin = [](http_parser* p) { return self(p).begin(); };
        settings_.on_url = [](http_parser* p, const char* at, std::size_t length) {
            return self(p).append(self(p).first_line_, at, length);
        };
        settings_.on_status = settings_.on_url;
        settings_.on_header_field = [](http_parser* p, const char* at, std::size_t length) {
            return self(p).add_name({at, length});
        };
        settings_.on_header_value = [](http_parser* p, const char* at, std::size_t length) {
            self(p).is_in_value_ = true;
            return self(p).append(self(p).value_, at, length);
        };
        settings_.on_headers_complete = [](http_parser* p) { return self(p).complete_head(); };
        settings_.on_body = [](http_parser* p, const char* at, std::size_t length) {
            self(p).events_->push_back(body_piece{std::string(at, length)});
            return 0;
        };
        settings_.on_message_complete = [](http_parser* p) { return self(p).complete_message(); };
    }

    void feed(std::string_view bytes, std::vector<Event>& events) {
        if (has_failed_) {
            return;
        }
        events_ = &events;
        while (!bytes.empty() && !has_failed_) {
            bytes.remove_prefix(feed_up_to_message_end(bytes));
        }
        events_ = nullptr;
    }

    void finish(std::vector<Event>& events) {
        if (has_failed_) {
            return;
        }
        events_ = &events;
        http_parser_execute(&parser_, &settings_, nullptr, 0);
        resume_after_message();
        events_ = nullptr;
        if (is_in_message_) {
            has_failed_ = true;
            events.push_back(parse_failure::truncated);
        }
    }

    void expect_no_body() { skips_body_ = true; }
    bool is_in_head() const { return is_in_message_ && !has_head_; }

private:
    /// Number of bytes behind a message that its end tells of.
    static constexpr std::size_t max_next_bytes = 16;

    static parser_core& self(http_parser* parser) {
        return *static_cast<parser_core*>(parser->data);
    }

    /// Parses up to the end of a message, where complete_message() pauses the parser, or all of
    /// the bytes. Returns the number of bytes parsed.
    std::size_t feed_up_to_message_end(std::string_view bytes) {
        const auto parsed = http_parser_execute(&parser_, &settings_, bytes.data(), bytes.size());
        if (resume_after_message()) {
            auto& end = std::get<message_end>(events_->back());
            end.is_followed = parsed < bytes.size();
            end.next_bytes = bytes.substr(parsed, max_next_bytes);
        } else if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK || parsed != bytes.size()) {
            fail(*events_);
        }
        return parsed;
    }

    /// Resumes the parser if complete_message() has paused it. Returns false if it was not paused.
    bool resume_after_message() {
        const bool is_paused = HTTP_PARSER_ERRNO(&parser_) == HPE_PAUSED;
        if (is_paused) {
            http_parser_pause(&parser_, 0);
        }
        return is_paused;
    }

    void fail(std::vector<Event>& events) {
        has_failed_ = true;
        events.push_back(head_bytes_ > max_head_bytes_ ? parse_failure::head_too_large
                                                       : parse_failure::malformed);
    }

    int begin() {
        is_in_message_ = true;
        has_head_ = false;
        head_bytes_ = 0;
        first_line_.clear();
        headers_.clear();
        return 0;
    }

    /// Appends to a part of the head. Returns a non-zero value, which makes http_parser stop, if
    /// the head exceeds its limit.
    int append(std::string& to, const char* at, std::size_t length) {
        if (has_head_) {
            return 0;
        }
        head_bytes_ += length;
        to.append(at, length);
        return head_bytes_ > max_head_bytes_ ? 1 : 0;
    }

    /// Appends to the name of a header field, and stores the previous field if it is complete.
    int add_name(std::string_view part) {
        if (has_head_) {
            return 0;
        }
        store_header();
        return append(name_, part.data(), part.size());
    }

    void store_header() {
        if (!is_in_value_) {
            return;
        }
        std::transform(name_.begin(), name_.end(), name_.begin(), [](unsigned char c) {
            return static_cast<char>(c >= 'A' && c <= 'Z' ? c + 32 : c);
        });
        headers_.push_back({std::move(name_), std::move(value_)});
        name_.clear();
        value_.clear();
        is_in_value_ = false;
    }

    /// True for a response that is followed by the final one (1xx).
    static bool is_interim_response(const Head& head) {
        if constexpr (requires { head.status; }) {
            return head.status / 100 == 1;
        } else {
            return false;
        }
    }

    /// Emits the head. Returns 1 to make http_parser skip the body.
    int complete_head() {
        store_header();
        has_head_ = true;
        // Protocol upgrades are not supported, so bytes after the message belong to the next one.
        parser_.upgrade = 0;
        Head head;
        head.headers = std::move(headers_);
        headers_.clear();
        fill_(head, parser_);
        if constexpr (requires { head.target; }) {
            head.target = first_line_;
        } else {
            head.reason = first_line_;
        }
        if (skips_body_) {
            head.framing = body_framing::none;
        }
        const bool is_interim = is_interim_response(head);
        events_->push_back(std::move(head));
        return !is_interim && std::exchange(skips_body_, false) ? 1 : 0;
    }

    int complete_message() {
        is_in_message_ = false;
        events_->push_back(message_end{http_should_keep_alive(&parser_) != 0});
        http_parser_pause(&parser_, 1);
        return 0;
    }

    http_parser parser_{};
    http_parser_settings settings_{};
    std::size_t max_head_bytes_;
    head_filler fill_;
    std::vector<Event>* events_ = nullptr;
    std::string first_line_;
    std::string name_;
    std::string value_;
    std::vector<http_header> headers_;
    std::size_t head_bytes_ = 0;
    bool is_in_value_ = false;
    bool has_head_ = false;
    bool is_in_message_ = false;
    /// Set after a parse error. Further input is ignored.
    bool has_failed_ = false;
    bool skips_body_ = false;
};

} // namespace trefoil::http1
