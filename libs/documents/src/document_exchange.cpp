#include <trefoil/documents/document_exchange.hpp>

#include <fmt/format.h>

#include <trefoil/base/hash.hpp>

namespace trefoil {
namespace {

constexpr duration read_wait = 10s;
constexpr duration retry_delay = 500ms;

struct held_document {
    document_status status;
    bool read_is_open = false;
    std::optional<time_point> read_due;
    bool platform_is_down = false;
};

} // namespace

struct document_exchange::state {
    exchange_settings settings;
    std::array<held_document, std::size(all_documents)> held;

    held_document& of(document_id document) { return held[static_cast<std::size_t>(document)]; }

    platform_read open_read(document_id document) {
        auto& entry = of(document);
        entry.read_is_open = true;
        entry.read_due.reset();
        return {document, entry.status.held, read_wait};
    }
};

document_exchange::document_exchange(exchange_settings settings)
    : state_(std::make_unique<state>()) {
    state_->settings = std::move(settings);
}

document_exchange::~document_exchange() = default;
document_exchange::document_exchange(document_exchange&&) noexcept = default;
document_exchange& document_exchange::operator=(document_exchange&&) noexcept = default;

exchange_outputs document_exchange::start(time_point) {
    exchange_outputs outputs;
    for (const auto document : all_documents) {
        outputs.emplace_back(state_->open_read(document));
    }
    return outputs;
}

exchange_outputs document_exchange::on_read(time_point now, document_id document, revision at,
                                            std::string text) {
    auto& entry = state_->of(document);
    entry.read_is_open = false;
    entry.status.confirmed = now;
    exchange_outputs outputs;
    if (at <= entry.status.held) {
        entry.read_due = now + retry_delay;
        return outputs;
    }
    const auto verdict = state_->settings.validate(document, text);
    if (!verdict.ok()) {
        outputs.emplace_back(log_record{log_event::document_refused,
                                        {{"document", std::string(name_of(document))},
                                         {"revision", std::to_string(at.value)},
                                         {"problem", std::string(verdict.message())}}});
        entry.read_due = now + retry_delay;
        return outputs;
    }
    entry.status = {at, stable_hash(text), now, now, "platform"};
    outputs.emplace_back(log_record{log_event::document_accepted,
                                    {{"document", std::string(name_of(document))},
                                     {"revision", std::to_string(at.value)},
                                     {"source", entry.status.source}}});
    outputs.emplace_back(
        document_changed{document, at, std::make_shared<const std::string>(std::move(text))});
    outputs.emplace_back(state_->open_read(document));
    return outputs;
}

exchange_outputs document_exchange::on_unchanged(time_point now, document_id document) {
    state_->of(document).status.confirmed = now;
    return {state_->open_read(document)};
}

exchange_outputs document_exchange::on_platform_failed(time_point now, document_id document) {
    auto& entry = state_->of(document);
    entry.read_is_open = false;
    entry.read_due = now + retry_delay;
    return {};
}

exchange_outputs document_exchange::on_message(time_point, const instance_id&,
                                               const control_message&) {
    return {};
}

void document_exchange::members_changed(time_point, const membership&) {}

exchange_outputs document_exchange::advance(time_point now) {
    exchange_outputs outputs;
    for (const auto document : all_documents) {
        auto& entry = state_->of(document);
        if (entry.read_due && *entry.read_due <= now) {
            outputs.emplace_back(state_->open_read(document));
        }
    }
    return outputs;
}

std::optional<time_point> document_exchange::next_wake() const {
    std::optional<time_point> earliest;
    for (const auto& entry : state_->held) {
        if (entry.read_due && (!earliest || *entry.read_due < *earliest)) {
            earliest = entry.read_due;
        }
    }
    return earliest;
}

document_status document_exchange::status(document_id document) const {
    return state_->of(document).status;
}

} // namespace trefoil
