#include <trefoil/wire/codec.hpp>

#include <absl/strings/escaping.h>

#include <trefoil/base/error.hpp>
#include <trefoil/base/overloaded.hpp>

#include "trefoil_wire.pb.h"

namespace trefoil {
namespace {

constexpr std::uint64_t max_duration_us = 86'400'000'000ULL;
constexpr std::uint32_t max_priority = 9;
constexpr std::uint32_t max_retry_tokens = 1000;

absl::Status out_of_range(std::string_view explanation) {
    return make_error(wire_failure::out_of_range, explanation);
}

template <class Message>
absl::StatusOr<Message> decode_header(std::string_view text) {
    std::string bytes;
    if (text.size() > max_header_bytes ||
        !absl::WebSafeBase64Unescape(absl::string_view(text.data(), text.size()), &bytes)) {
        return make_error(wire_failure::bad_base64, "header value is too long or not base64url");
    }
    Message message;
    if (!message.ParseFromString(bytes)) {
        return make_error(wire_failure::bad_message,
                          "header value is not a valid protobuf message");
    }
    return message;
}

std::string format_reply_to(const endpoint& reply_to) {
    return reply_to.ip.empty() ? std::string() : to_string(reply_to);
}

proto::ControlMessage to_proto(const control_message& message) {
    proto::ControlMessage out;
    std::visit(overloaded{
                   [&](const document_delta& delta) {
                       auto& body = *out.mutable_delta();
                       body.set_document(static_cast<std::uint32_t>(delta.document));
                       body.set_base(delta.base.value);
                       body.set_to(delta.to.value);
                       body.set_hash(delta.hash);
                       body.set_header(delta.header);
                       for (const auto& change : delta.rows) {
                           auto& row = *body.add_rows();
                           row.set_key(change.key);
                           row.set_after(change.previous_key);
                           row.set_text(change.text);
                           row.set_changed(change.changed_revision.value);
                           row.set_removed(change.removed);
                       }
                   },
                   [&](const document_digest& digest) {
                       auto& body = *out.mutable_digest();
                       body.set_document(static_cast<std::uint32_t>(digest.document));
                       body.set_held(digest.held_revision.value);
                       body.set_hash(digest.hash);
                       body.set_age_us(
                           static_cast<std::uint64_t>(std::max(digest.age, 0us).count()));
                       body.set_epoch(digest.epoch);
                       body.set_is_answer(digest.is_answer);
                       body.set_reply_to(format_reply_to(digest.reply_to));
                   },
                   [&](const document_pull& pull) {
                       auto& body = *out.mutable_pull();
                       body.set_document(static_cast<std::uint32_t>(pull.document));
                       body.set_held(pull.held_revision.value);
                       body.set_reply_to(format_reply_to(pull.reply_to));
                   },
                   [&](const leaving_notice& notice) {
                       auto& body = *out.mutable_leaving();
                       body.set_instance(notice.instance.str());
                       body.set_incarnation(notice.incarnation.value);
                   },
                   [&](const suspect_notice& notice) {
                       auto& body = *out.mutable_suspect();
                       for (const auto fingerprint : notice.fingerprints) {
                           body.add_fingerprints(fingerprint);
                       }
                       body.set_incident(notice.incident);
                       body.set_state(static_cast<std::uint32_t>(notice.state));
                       body.set_lifetime_us(static_cast<std::uint64_t>(notice.lifetime.count()));
                   },
               },
               message);
    return out;
}

absl::StatusOr<document_id> to_document(std::uint32_t value) {
    if (value > static_cast<std::uint32_t>(document_id::instances)) {
        return out_of_range("document out of range");
    }
    return static_cast<document_id>(value);
}

absl::StatusOr<control_message> from_delta(const proto::DocumentDelta& body) {
    const auto document = to_document(body.document());
    if (!document.ok()) {
        return document.status();
    }
    document_delta delta{*document, {body.base()}, {body.to()}, body.hash(), body.header(), {}};
    for (const auto& row : body.rows()) {
        delta.rows.push_back({row.key(), row.after(), row.text(), {row.changed()}, row.removed()});
    }
    return delta;
}

absl::StatusOr<endpoint> parse_reply_to(const std::string& text) {
    return text.empty() ? endpoint{} : parse_endpoint(text);
}

absl::StatusOr<control_message> from_digest(const proto::DocumentDigest& body) {
    const auto document = to_document(body.document());
    if (!document.ok()) {
        return document.status();
    }
    const auto reply_to = parse_reply_to(body.reply_to());
    if (!reply_to.ok() || body.age_us() > max_duration_us) {
        return out_of_range("reply_to or age out of range");
    }
    return document_digest{*document,    {body.held()},
                           body.hash(),  duration(static_cast<duration::rep>(body.age_us())),
                           body.epoch(), body.is_answer(),
                           *reply_to};
}

absl::StatusOr<control_message> from_pull(const proto::DocumentPull& body) {
    const auto document = to_document(body.document());
    if (!document.ok()) {
        return document.status();
    }
    const auto reply_to = parse_reply_to(body.reply_to());
    if (!reply_to.ok()) {
        return out_of_range("reply_to is not a valid address");
    }
    return document_pull{*document, {body.held()}, *reply_to};
}

absl::StatusOr<control_message> from_suspect(const proto::SuspectNotice& body) {
    if (body.state() > static_cast<std::uint32_t>(suspicion::cleared) ||
        static_cast<std::size_t>(body.fingerprints_size()) > max_suspects_in_notice ||
        body.lifetime_us() > max_duration_us) {
        return out_of_range(
            "state, lifetime or fingerprint count of a suspect notice out of range");
    }
    return suspect_notice{{body.fingerprints().begin(), body.fingerprints().end()},
                          static_cast<suspicion>(body.state()),
                          duration(static_cast<duration::rep>(body.lifetime_us())),
                          body.incident()};
}

} // namespace

absl::StatusCode status_code(wire_failure) {
    return absl::StatusCode::kInvalidArgument;
}

std::string_view name_of(wire_failure failure) {
    switch (failure) {
    case wire_failure::bad_base64:
        return "bad_base64";
    case wire_failure::bad_message:
        return "bad_message";
    case wire_failure::out_of_range:
        return "out_of_range";
    }
    return "bad_message";
}

std::string encode_context(const call_context& context) {
    proto::CallContext message;
    message.set_request_high(context.request.high);
    message.set_request_low(context.request.low);
    message.set_kind(context.kind);
    message.set_priority(context.priority);
    message.set_once(context.once);
    message.set_remaining_us(static_cast<std::uint64_t>(std::max(context.remaining, 0us).count()));
    message.set_retry_tokens(context.retry_tokens);
    message.set_depth(context.depth);
    message.set_parent_call(context.parent_call.value);
    message.set_parent_incarnation(context.parent_incarnation.value);
    message.set_is_suspect(context.is_suspect);
    return absl::WebSafeBase64Escape(message.SerializeAsString());
}

absl::StatusOr<call_context> decode_context(std::string_view text) {
    const auto message = decode_header<proto::CallContext>(text);
    if (!message.ok()) {
        return message.status();
    }
    if (message->kind().empty() || message->priority() > max_priority) {
        return out_of_range("kind is empty or priority out of range");
    }
    if (message->remaining_us() > max_duration_us || message->depth() > max_depth ||
        message->retry_tokens() > max_retry_tokens) {
        return out_of_range("remaining, depth or retry_tokens out of range");
    }
    return call_context{{message->request_high(), message->request_low()},
                        message->kind(),
                        message->priority(),
                        message->once(),
                        duration(static_cast<duration::rep>(message->remaining_us())),
                        message->retry_tokens(),
                        message->depth(),
                        {message->parent_call()},
                        {message->parent_incarnation()},
                        message->is_suspect()};
}

std::string encode_answer_info(const answer_info& info) {
    proto::AnswerInfo message;
    message.set_result(static_cast<std::uint32_t>(info.result));
    message.set_reason(static_cast<std::uint32_t>(info.reason));
    message.set_unused_tokens(info.unused_tokens);
    message.set_incarnation(info.incarnation.value);
    if (info.load) {
        auto& load = *message.mutable_load();
        load.set_in_flight(info.load->in_flight);
        load.set_queued(info.load->queued);
        load.set_limit(info.load->limit);
    }
    for (const auto& level : info.kind_thresholds) {
        auto& out = *message.add_levels();
        out.set_kind(level.kind);
        out.set_threshold(level.threshold);
    }
    message.set_retry_after_us(static_cast<std::uint64_t>(info.retry_after.count()));
    return absl::WebSafeBase64Escape(message.SerializeAsString());
}

absl::StatusOr<answer_info> decode_answer_info(std::string_view text) {
    const auto message = decode_header<proto::AnswerInfo>(text);
    if (!message.ok()) {
        return message.status();
    }
    if (message->result() > static_cast<std::uint32_t>(outcome::unknown) ||
        message->reason() > static_cast<std::uint32_t>(last_refusal) ||
        message->unused_tokens() > max_retry_tokens ||
        message->retry_after_us() > max_duration_us) {
        return out_of_range("result, reason, unused_tokens or retry_after out of range");
    }
    answer_info info;
    info.result = static_cast<outcome>(message->result());
    info.reason = static_cast<refusal>(message->reason());
    info.unused_tokens = message->unused_tokens();
    info.incarnation = {message->incarnation()};
    if (message->has_load()) {
        const auto& load = message->load();
        info.load = load_report{load.in_flight(), load.queued(), load.limit()};
    }
    for (const auto& level : message->levels()) {
        info.kind_thresholds.push_back({level.kind(), level.threshold()});
    }
    info.retry_after = duration(static_cast<duration::rep>(message->retry_after_us()));
    return info;
}

std::string encode_control(const control_message& message) {
    return to_proto(message).SerializeAsString();
}

absl::StatusOr<control_message> decode_control(std::string_view bytes) {
    proto::ControlMessage message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return make_error(wire_failure::bad_message, "control message is not valid protobuf");
    }
    switch (message.body_case()) {
    case proto::ControlMessage::kDelta:
        return from_delta(message.delta());
    case proto::ControlMessage::kDigest:
        return from_digest(message.digest());
    case proto::ControlMessage::kPull:
        return from_pull(message.pull());
    case proto::ControlMessage::kLeaving:
        return leaving_notice{instance_id(message.leaving().instance()),
                              {message.leaving().incarnation()}};
    case proto::ControlMessage::kSuspect:
        return from_suspect(message.suspect());
    case proto::ControlMessage::BODY_NOT_SET:
        break;
    }
    return make_error(wire_failure::bad_message, "control message of an unknown type");
}

namespace {

std::string_view trimmed(std::string_view text) {
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

// Removes the first member from a baggage header and returns it without surrounding blanks.
std::string_view take_member(std::string_view& header) {
    const auto end = std::min(header.find(','), header.size());
    const auto member = header.substr(0, end);
    header.remove_prefix(std::min(end + 1, header.size()));
    return trimmed(member);
}

bool is_trefoil_member(std::string_view member) {
    return member.size() > baggage_member.size() && member.starts_with(baggage_member) &&
           member[baggage_member.size()] == '=';
}

} // namespace

std::string_view find_baggage(std::string_view header) {
    while (!header.empty()) {
        const auto member = take_member(header);
        if (is_trefoil_member(member)) {
            const auto value = member.substr(baggage_member.size() + 1);
            return trimmed(value.substr(0, value.find(';')));
        }
    }
    return {};
}

std::string strip_baggage(std::string_view header) {
    std::string remaining_members;
    while (!header.empty()) {
        const auto member = take_member(header);
        if (!is_trefoil_member(member)) {
            remaining_members += remaining_members.empty() ? "" : ",";
            remaining_members += member;
        }
    }
    return remaining_members;
}

} // namespace trefoil
