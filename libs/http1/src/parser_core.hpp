// Common base of the request and response parsers.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <http_parser.h>

#include <trefoil/http1/message.hpp>

#include "response_check.hpp"
#include "section_lines.hpp"

namespace trefoil::http1 {

/// Converts the callbacks of http_parser into events of type Event. It collects the header fields
/// of a message into a Head; the `fill` function then sets the members that depend on the type of
/// the message, and returns false if no body follows the head. With `omits_body` none follows.
template <class Head, class Event>
class parser_core {
public:
    using head_filler = bool (*)(Head&, const http_parser&, bool omits_body);

    parser_core(http_parser_type type, std::size_t max_head_bytes, head_filler fill)
        : type_(type), max_head_bytes_(max_head_bytes), fill_(fill) {
        http_parser_init(&parser_, type);
        parser_.data = this;
        http_parser_settings_init(&settings_);
        settings_.on_message_begin = [](http_parser* p) { return self(p).begin(); };
        settings_.on_url = [](http_parser* p, const char* at, std::size_t length) {
            return self(p).append(self(p).message_.first_line, at, length);
        };
        settings_.on_status = settings_.on_url;
        settings_.on_header_field = [](http_parser* p, const char* at, std::size_t length) {
            return self(p).add_name({at, length});
        };
        settings_.on_header_value = [](http_parser* p, const char* at, std::size_t length) {
            return self(p).add_value({at, length});
        };
        settings_.on_headers_complete = [](http_parser* p) { return self(p).complete_head(); };
        settings_.on_body = [](http_parser* p, const char* at, std::size_t length) {
            self(p).events_->push_back(body_piece{std::string(at, length)});
            return 0;
        };
        settings_.on_chunk_header = [](http_parser* p) { return self(p).end_chunk_line(); };
        settings_.on_chunk_complete = [](http_parser* p) { return self(p).end_chunk(); };
        settings_.on_message_complete = [](http_parser* p) { return self(p).complete_message(); };
    }

    void feed(std::string_view bytes, std::vector<Event>& events) {
        if (has_failed_) {
            return;
        }
        events_ = &events;
        while (!bytes.empty() && !has_failed_) {
            bytes.remove_prefix(feed_up_to_pause(bytes));
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
        if (message_.has_begun) {
            has_failed_ = true;
            events.push_back(parse_failure::truncated);
        }
    }

    void expect_no_body() { skips_body_ = true; }
    bool is_in_head() const { return message_.has_begun && !message_.has_head; }

private:
    /// Number of bytes behind a message that its end tells of.
    static constexpr std::size_t max_next_bytes = 16;
    static constexpr bool is_response = requires(Head head) { head.status; };

    /// What has been read of the current message.
    struct message_state {
        std::string first_line;
        /// The field that is being read.
        std::string name;
        std::string value;
        std::vector<http_header> headers;
        /// Size of the head or, behind the body, of the trailer section so far.
        std::size_t section_bytes = 0;
        bool is_in_value = false;
        bool has_begun = false;
        bool has_head = false;
        /// Set if the message is not valid although http_parser accepts it.
        std::optional<parse_failure> failure;
    };

    static parser_core& self(http_parser* parser) {
        return *static_cast<parser_core*>(parser->data);
    }

    /// Parses up to the next pause, or all of the bytes. Returns the number of bytes parsed.
    std::size_t feed_up_to_pause(std::string_view bytes) {
        const auto valid = bytes.substr(0, lines_.read(bytes));
        const auto parsed = execute(valid);
        keep_last(bytes.substr(0, parsed));
        if (resume_after_chunk_line()) {
            if (last_bytes_ != "\r\n") {
                message_.failure = parse_failure::bad_line_end;
                fail(*events_);
            }
        } else if (resume_after_message()) {
            auto& end = std::get<message_end>(events_->back());
            end.is_followed = parsed < bytes.size();
            end.next_bytes = bytes.substr(parsed, max_next_bytes);
        } else if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK || parsed != valid.size()) {
            fail(*events_);
        } else if (valid.size() < bytes.size()) {
            message_.failure = parse_failure::bad_line_end;
            fail(*events_);
        }
        return parsed;
    }

    /// Returns the number of bytes parsed. No bytes would mean the end of the connection.
    std::size_t execute(std::string_view bytes) {
        return bytes.empty()
                   ? 0
                   : http_parser_execute(&parser_, &settings_, bytes.data(), bytes.size());
    }

    /// Keeps the last two bytes that were parsed.
    void keep_last(std::string_view parsed) {
        constexpr std::size_t kept_bytes = 2;
        last_bytes_.append(parsed.substr(parsed.size() - std::min(parsed.size(), kept_bytes)));
        last_bytes_.erase(0, last_bytes_.size() - std::min(last_bytes_.size(), kept_bytes));
    }

    /// Lets the parser go on if it has been paused behind a line of the framing. Returns false if
    /// it was not.
    bool resume_after_chunk_line() {
        const bool is_paused = std::exchange(is_at_chunk_line_end_, false);
        if (is_paused) {
            http_parser_pause(&parser_, 0);
        }
        return is_paused;
    }

    /// Resets the parser for the next message if complete_message() has paused it. Returns false if
    /// it was not paused.
    bool resume_after_message() {
        const bool is_paused = HTTP_PARSER_ERRNO(&parser_) == HPE_PAUSED;
        if (is_paused) {
            http_parser_init(&parser_, type_);
            lines_.expect_head();
        }
        return is_paused;
    }

    void fail(std::vector<Event>& events) {
        has_failed_ = true;
        events.push_back(message_.section_bytes > max_head_bytes_
                             ? parse_failure::head_too_large
                             : message_.failure.value_or(failure_found_by_parser()));
    }

    parse_failure failure_found_by_parser() const {
        return HTTP_PARSER_ERRNO(&parser_) == HPE_INVALID_HEADER_TOKEN ? parse_failure::bad_field
                                                                       : parse_failure::malformed;
    }

    int begin() {
        message_ = {};
        message_.has_begun = true;
        return 0;
    }

    /// Counts bytes of the head or of the trailer section. Returns a non-zero value, which makes
    /// http_parser stop, if the section exceeds the limit.
    int count(std::size_t bytes) {
        message_.section_bytes += bytes;
        return message_.section_bytes > max_head_bytes_ ? 1 : 0;
    }

    /// Appends to a part of the head and counts the bytes.
    int append(std::string& to, const char* at, std::size_t length) {
        to.append(at, length);
        return count(length);
    }

    /// Appends to the name of a header field, and stores the previous field if it is complete. The
    /// fields of a trailer section are discarded (RFC 9110 6.5.1).
    int add_name(std::string_view part) {
        if (const auto valid_length = token_length(part); valid_length < part.size()) {
            return refuse_field(valid_length);
        }
        if (message_.has_head) {
            return count(part.size());
        }
        store_header();
        return append(message_.name, part.data(), part.size());
    }

    int add_value(std::string_view part) {
        if (const auto valid_length = text_length(part); valid_length < part.size()) {
            return refuse_field(valid_length);
        }
        if (message_.has_head) {
            return count(part.size());
        }
        message_.is_in_value = true;
        return append(message_.value, part.data(), part.size());
    }

    /// Makes http_parser stop at a byte that a field can't have, behind this number of valid ones.
    int refuse_field(std::size_t valid_length) {
        count(valid_length);
        message_.failure = parse_failure::bad_field;
        return 1;
    }

    /// Stores the field that has been read, if any.
    void store_header() {
        if (!message_.is_in_value) {
            return;
        }
        auto& name = message_.name;
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
            return static_cast<char>(c >= 'A' && c <= 'Z' ? c + 32 : c);
        });
        message_.headers.push_back({std::move(name), std::move(message_.value)});
        message_.name.clear();
        message_.value.clear();
        message_.is_in_value = false;
    }

    /// True for a response that is followed by the final one (1xx).
    static bool is_interim_response(const Head& head) {
        if constexpr (is_response) {
            return head.status / 100 == 1;
        } else {
            return false;
        }
    }

    /// Emits the head. Returns 1 to make http_parser skip the body, and another non-zero value to
    /// make it stop.
    int complete_head() {
        store_header();
        message_.has_head = true;
        message_.section_bytes = 0;
        // Protocol upgrades are not supported, so bytes after the message belong to the next one.
        parser_.upgrade = 0;
        Head head;
        head.headers = std::move(message_.headers);
        const bool may_have_body = fill_(head, parser_, skips_body_);
        if constexpr (is_response) {
            head.reason = std::move(message_.first_line);
            message_.failure = check_response(head, lines_.start());
            if (message_.failure) {
                return -1;
            }
        } else {
            head.target = std::move(message_.first_line);
        }
        skips_body_ = skips_body_ && is_interim_response(head);
        events_->push_back(std::move(head));
        return may_have_body ? 0 : 1;
    }

    /// Pauses the parser behind the line with the size of a chunk, since http_parser skips the byte
    /// behind its CR without looking at it. Behind the last one, the trailer section follows.
    int end_chunk_line() {
        if (parser_.content_length == 0) {
            lines_.expect_trailers();
        }
        return pause_at_chunk_line_end();
    }

    /// Pauses the parser behind the data of a chunk, since http_parser skips two bytes there
    /// without looking at them. The last chunk has no data.
    int end_chunk() { return (parser_.flags & F_TRAILING) != 0 ? 0 : pause_at_chunk_line_end(); }

    int pause_at_chunk_line_end() {
        is_at_chunk_line_end_ = true;
        http_parser_pause(&parser_, 1);
        return 0;
    }

    int complete_message() {
        message_ = {};
        events_->push_back(message_end{http_should_keep_alive(&parser_) != 0});
        http_parser_pause(&parser_, 1);
        return 0;
    }

    http_parser parser_{};
    http_parser_settings settings_{};
    http_parser_type type_;
    std::size_t max_head_bytes_;
    head_filler fill_;
    std::vector<Event>* events_ = nullptr;
    message_state message_;
    section_lines lines_;
    /// The last two bytes that were parsed.
    std::string last_bytes_;
    /// Set while the parser is paused behind a line of the framing of a chunked body.
    bool is_at_chunk_line_end_ = false;
    /// Set after a parse error. Further input is ignored.
    bool has_failed_ = false;
    /// Set until the next final response, which has no body.
    bool skips_body_ = false;
};

} // namespace trefoil::http1
