#include <trefoil/documents/document_exchange.hpp>

#include <algorithm>

#include <trefoil/base/hash.hpp>
#include <trefoil/base/overloaded.hpp>
#include <trefoil/base/random.hpp>
#include <trefoil/documents/document_copy.hpp>

#include "neighbours.hpp"
#include "platform_reads.hpp"
#include "reader_duty.hpp"

namespace trefoil {
namespace {

/// Time between two comparisons with a neighbour; the documents take turns.
constexpr duration compare_interval = 2s;
/// A comparison that is overdue by this means that the process stood still.
constexpr duration pause_threshold = 5s;
/// Time that a neighbour has for what it was asked for.
constexpr duration pull_timeout = 1s;
/// Most rows that are pushed; of greater changes only the digest is.
constexpr std::size_t max_pushed_rows = 64;
/// Longest time for which the first table waits for word of the neighbours.
constexpr duration ask_limit = 1s;
/// Time after which a node without a document says so.
constexpr duration start_limit = 2s;

/// One document at this node.
struct held_document {
    held_document(document_id document, std::uint64_t seed) : reads(document, seed) {}

    document_copy copy;
    platform_reads reads;
    time_point since;
    time_point confirmed;
    std::string source;
    revision heard;
    /// Set while an answer to a pull is awaited.
    std::optional<time_point> pull_until;
    /// Set while a first version waits for word of the neighbours.
    std::optional<time_point> release_at;
};

std::vector<std::pair<std::string, std::string>>
fields_of(document_id document, revision at, std::string_view name, std::string value) {
    return {{"document", std::string(name_of(document))},
            {"revision", std::to_string(at.value)},
            {std::string(name), std::move(value)}};
}

} // namespace

class document_exchange::impl {
public:
    explicit impl(exchange_settings settings)
        : settings_(std::move(settings)),
          random_(settings_.seed), documents_{held_document(document_id::table, random_()),
                                              held_document(document_id::instances, random_())},
          near_(settings_.self, settings_.domain), duty_(settings_.self, settings_.domain) {}

    exchange_outputs start(time_point now) {
        now_ = now;
        duty_.start(now);
        compare_at_ = now + jittered(compare_interval);
        start_limit_ = now + start_limit;
        for (const auto document : all_documents) {
            auto& entry = of(document);
            entry.confirmed = now;
            entry.since = now;
            entry.reads.start(now, settings_.planned_nodes);
        }
        return finish();
    }

    exchange_outputs on_read(time_point now, document_id document, revision at,
                             std::string_view text) {
        now_ = now;
        auto& entry = of(document);
        if (at < entry.copy.at()) {
            ignore_stale(document, at);
            return finish();
        }
        if (at == entry.copy.at()) {
            confirm(document);
            return finish();
        }
        const refused_text seen{at, stable_hash(text)};
        if (entry.reads.last_refused() == seen) {
            platform_answered(document);
            entry.reads.refused(now, seen);
            return finish();
        }
        auto next = entry.copy.with_text(text, at);
        const auto verdict = settings_.validate(document, *next.text());
        if (!verdict.ok()) {
            platform_answered(document);
            entry.reads.refused(now, seen);
            log(log_event::document_refused,
                fields_of(document, at, "problem", std::string(verdict.message())));
            return finish();
        }
        adopt(document, std::move(next), "platform");
        confirm(document);
        return finish();
    }

    exchange_outputs on_unchanged(time_point now, document_id document) {
        now_ = now;
        confirm(document);
        return finish();
    }

    exchange_outputs on_platform_failed(time_point now, document_id document) {
        now_ = now;
        platform_failed(document);
        return finish();
    }

    exchange_outputs on_message(time_point now, const instance_id& from,
                                const control_message& message) {
        now_ = now;
        near_.heard_from(from);
        std::visit(overloaded{
                       [&](const document_digest& digest) { on(from, digest); },
                       [&](const document_pull& pull) { on(from, pull); },
                       [&](const document_delta& delta) { on(from, delta); },
                       [](const auto&) {},
                   },
                   message);
        return finish();
    }

    void members_changed(time_point now, const membership& members) {
        now_ = now;
        near_.members_changed(members);
        duty_.members_changed(near_.own_domain());
        ask_all_ = ask_all_ || !has_list_;
        has_list_ = true;
        next_due_ = now;
    }

    exchange_outputs advance(time_point now) {
        if (next_due_ && now < *next_due_) {
            return {};
        }
        now_ = now;
        if (compare_at_ + pause_threshold <= now) {
            ask_all_ = true;
        }
        duty_.advance(now);
        near_.advance(now);
        ask_neighbours();
        compare();
        release_first_versions();
        tell_what_is_missing();
        for (const auto document : all_documents) {
            advance(document);
        }
        return finish();
    }

    std::optional<time_point> next_wake() const { return next_due_; }

    document_status status(document_id document) const {
        const auto& entry = of(document);
        const bool is_in_force = !entry.release_at;
        return {is_in_force ? entry.copy.at() : revision{},
                is_in_force ? entry.copy.hash() : 0,
                entry.since,
                entry.confirmed,
                entry.source,
                entry.heard,
                duty_.is_reader()};
    }

private:
    held_document& of(document_id document) {
        return documents_[static_cast<std::size_t>(document)];
    }
    const held_document& of(document_id document) const {
        return documents_[static_cast<std::size_t>(document)];
    }

    void on(const instance_id& from, const document_digest& digest) {
        auto& entry = of(digest.document);
        duty_.heard_epoch(now_, digest.epoch);
        entry.heard = std::max(entry.heard, digest.held);
        const auto at = entry.copy.at();
        const bool same_revision = digest.held == at && at.value > 0;
        const bool is_behind =
            digest.held > at || (same_revision && digest.hash > entry.copy.hash());
        if (is_behind) {
            if (!was_refused(entry, digest.held, digest.hash) && settings_.mechanisms.repair) {
                pull(from, digest.document, same_revision ? revision{} : at, digest.reply_to);
            }
            return;
        }
        if (same_revision && digest.hash == entry.copy.hash()) {
            entry.confirmed = std::max(entry.confirmed, now_ - digest.age);
        }
        release(digest.document);
        if (!digest.is_answer) {
            send(from, make_digest(digest.document, true), digest.reply_to);
        }
    }

    void on(const instance_id& from, const document_pull& pull) {
        const auto& entry = of(pull.document);
        if (entry.copy.at() > pull.held) {
            send(from, entry.copy.changes_since(pull.document, pull.held), pull.reply_to);
        }
    }

    void on(const instance_id& from, const document_delta& delta) {
        auto& entry = of(delta.document);
        entry.heard = std::max(entry.heard, delta.to);
        const auto at = entry.copy.at();
        const bool is_tie = delta.to == at && at.value > 0 && delta.hash > entry.copy.hash();
        if ((delta.to <= at && !is_tie) || was_refused(entry, delta.to, delta.hash)) {
            return;
        }
        entry.pull_until.reset();
        auto next = entry.copy.with_delta(delta);
        if (!next.ok()) {
            repair(from, delta, next.status());
            return;
        }
        const auto verdict = settings_.validate(delta.document, *next->text());
        if (!verdict.ok()) {
            entry.reads.refused(now_, {delta.to, delta.hash});
            log(log_event::document_refused,
                fields_of(delta.document, delta.to, "problem", std::string(verdict.message())));
            return;
        }
        adopt(delta.document, *std::move(next), from.str());
    }

    void repair(const instance_id& from, const document_delta& delta, const absl::Status& why) {
        if (delta.base.value == 0 || !settings_.mechanisms.repair) {
            return;
        }
        auto& entry = of(delta.document);
        const bool is_gap = delta.base > entry.copy.at();
        pull(from, delta.document, is_gap ? entry.copy.at() : revision{}, {});
        if (!is_gap) {
            log(log_event::document_repaired,
                fields_of(delta.document, delta.to, "problem", std::string(why.message())));
        }
    }

    static bool was_refused(const held_document& entry, revision at, std::uint64_t hash) {
        return entry.reads.last_refused() == refused_text{at, hash};
    }

    /// Puts a newer version in force and passes it on.
    void adopt(document_id document, document_copy next, const std::string& source) {
        auto& entry = of(document);
        const auto before = entry.copy.at();
        entry.copy = std::move(next);
        entry.since = now_;
        entry.source = source;
        entry.heard = std::max(entry.heard, entry.copy.at());
        entry.reads.accepted();
        const bool waits = document == document_id::table && before.value == 0 &&
                           settings_.mechanisms.ask_before_start;
        if (waits) {
            entry.release_at = now_ + ask_limit;
        }
        if (!entry.release_at) {
            put_in_force(document);
        } else if (source != "platform") {
            release(document);
        }
        push(document, before, source);
    }

    void put_in_force(document_id document) {
        const auto& entry = of(document);
        log(log_event::document_accepted,
            fields_of(document, entry.copy.at(), "source", entry.source));
        out_.emplace_back(document_changed{document, entry.copy.at(), entry.copy.text()});
    }

    void release(document_id document) {
        auto& entry = of(document);
        if (entry.release_at) {
            entry.release_at.reset();
            put_in_force(document);
        }
    }

    void release_first_versions() {
        for (const auto document : all_documents) {
            const auto& entry = of(document);
            const bool is_alone = has_list_ && near_.chosen().empty();
            if (entry.release_at && (*entry.release_at <= now_ || is_alone)) {
                release(document);
            }
        }
    }

    void push(document_id document, revision before, const std::string& source) {
        if (!settings_.mechanisms.push) {
            return;
        }
        const auto& entry = of(document);
        const auto base = settings_.mechanisms.deltas ? before : revision{};
        const auto delta = entry.copy.changes_since(document, base);
        const bool is_small = delta.base.value > 0 && delta.rows.size() <= max_pushed_rows;
        for (const auto& node : near_.chosen()) {
            if (node.str() == source) {
                continue;
            }
            if (is_small || !settings_.mechanisms.deltas) {
                send(node, delta, {});
            } else {
                send(node, make_digest(document, true), {});
            }
        }
    }

    void pull(const instance_id& from, document_id document, revision held,
              const endpoint& address) {
        auto& entry = of(document);
        if (!entry.pull_until) {
            entry.pull_until = now_ + pull_timeout;
            send(from, document_pull{document, held, settings_.control}, address);
        }
    }

    document_digest make_digest(document_id document, bool is_answer) const {
        const auto& entry = of(document);
        return {document,      entry.copy.at(), entry.copy.hash(), now_ - entry.confirmed,
                duty_.epoch(), is_answer,       settings_.control};
    }

    void ask_neighbours() {
        if (!std::exchange(ask_all_, false)) {
            return;
        }
        for (const auto& node : near_.chosen()) {
            for (const auto document : all_documents) {
                send(node, make_digest(document, false), {});
            }
        }
    }

    void compare() {
        if (now_ < compare_at_) {
            return;
        }
        compare_at_ = now_ + jittered(compare_interval);
        if (!settings_.mechanisms.compare || near_.chosen().empty()) {
            return;
        }
        const auto document = all_documents[comparisons_ % std::size(all_documents)];
        const auto turn = comparisons_++ / std::size(all_documents);
        const auto node = near_.chosen()[turn % near_.chosen().size()];
        near_.asked(now_, node);
        send(node, make_digest(document, false), {});
    }

    void tell_what_is_missing() {
        if (!start_limit_ || now_ < *start_limit_) {
            return;
        }
        start_limit_.reset();
        for (const auto document : all_documents) {
            if (of(document).copy.at().value == 0) {
                log(log_event::serving_without_documents,
                    {{"document", std::string(name_of(document))}});
            }
        }
    }

    void advance(document_id document) {
        auto& entry = of(document);
        if (entry.pull_until && *entry.pull_until <= now_) {
            entry.pull_until.reset();
        }
        const auto situation = situation_of(entry);
        const auto due = entry.reads.due(situation);
        if (due && *due <= now_) {
            out_.emplace_back(entry.reads.open(now_, situation));
        }
    }

    read_situation situation_of(const held_document& entry) const {
        return {entry.copy.at(), entry.confirmed, duty_.rank(),
                std::max(settings_.planned_nodes, near_.fleet_size()),
                settings_.mechanisms.shared_reads};
    }

    void confirm(document_id document) {
        platform_answered(document);
        auto& entry = of(document);
        entry.confirmed = now_;
        if (!settings_.mechanisms.shared_reads || !duty_.is_reader()) {
            return;
        }
        for (const auto& node : duty_.leading()) {
            send(node, make_digest(document, true), {});
        }
    }

    void platform_answered(document_id document) {
        if (of(document).reads.answered(now_)) {
            log(log_event::platform_reachable, {{"document", std::string(name_of(document))}});
        }
    }

    void platform_failed(document_id document) {
        auto& entry = of(document);
        if (entry.reads.failed(now_, situation_of(entry))) {
            log(log_event::platform_unreachable, {{"document", std::string(name_of(document))}});
        }
    }

    void ignore_stale(document_id document, revision at) {
        auto& entry = of(document);
        if (entry.reads.failed(now_, situation_of(entry))) {
            log(log_event::document_stale_ignored,
                fields_of(document, at, "held", std::to_string(entry.copy.at().value)));
        }
    }

    void send(const instance_id& to, control_message message, const endpoint& address) {
        out_.emplace_back(control_send{to, std::move(message), address});
    }

    void log(log_event event, std::vector<std::pair<std::string, std::string>> fields) {
        out_.emplace_back(log_record{event, std::move(fields)});
    }

    duration jittered(duration mean) {
        const auto factor = 0.75 + random_.unit() / 2;
        return duration(static_cast<duration::rep>(factor * static_cast<double>(mean.count())));
    }

    exchange_outputs finish() {
        next_due_ = std::min(compare_at_, duty_.next_wake());
        const auto consider = [&](std::optional<time_point> at) {
            if (at && *at < *next_due_) {
                next_due_ = at;
            }
        };
        consider(start_limit_);
        for (const auto& entry : documents_) {
            consider(entry.pull_until);
            consider(entry.release_at);
            consider(entry.reads.due(situation_of(entry)));
        }
        if (ask_all_) {
            next_due_ = now_;
        }
        exchange_outputs out;
        out.swap(out_);
        return out;
    }

    exchange_settings settings_;
    random_source random_;
    std::array<held_document, std::size(all_documents)> documents_;
    neighbours near_;
    reader_duty duty_;
    exchange_outputs out_;
    time_point now_;
    time_point compare_at_;
    std::uint64_t comparisons_ = 0;
    std::optional<time_point> start_limit_;
    std::optional<time_point> next_due_;
    bool ask_all_ = false;
    bool has_list_ = false;
};

document_exchange::document_exchange(exchange_settings settings)
    : impl_(std::make_unique<impl>(std::move(settings))) {}
document_exchange::~document_exchange() = default;
document_exchange::document_exchange(document_exchange&&) noexcept = default;
document_exchange& document_exchange::operator=(document_exchange&&) noexcept = default;

exchange_outputs document_exchange::start(time_point now) {
    return impl_->start(now);
}
exchange_outputs document_exchange::on_read(time_point now, document_id document, revision at,
                                            const std::string& text) {
    return impl_->on_read(now, document, at, text);
}
exchange_outputs document_exchange::on_unchanged(time_point now, document_id document) {
    return impl_->on_unchanged(now, document);
}
exchange_outputs document_exchange::on_platform_failed(time_point now, document_id document) {
    return impl_->on_platform_failed(now, document);
}
exchange_outputs document_exchange::on_message(time_point now, const instance_id& from,
                                               const control_message& message) {
    return impl_->on_message(now, from, message);
}
void document_exchange::members_changed(time_point now, const membership& members) {
    impl_->members_changed(now, members);
}
exchange_outputs document_exchange::advance(time_point now) {
    return impl_->advance(now);
}
std::optional<time_point> document_exchange::next_wake() const {
    return impl_->next_wake();
}
document_status document_exchange::status(document_id document) const {
    return impl_->status(document);
}

} // namespace trefoil
