#include <trefoil/documents/document_exchange.hpp>

#include <algorithm>

#include <trefoil/base/hash.hpp>
#include <trefoil/base/overloaded.hpp>
#include <trefoil/base/random.hpp>
#include <trefoil/documents/document_copy.hpp>

#include "neighbours.hpp"
#include "platform_reads.hpp"
#include "reader_election.hpp"

namespace trefoil {
namespace {

/// Mean time between two digest comparisons. Comparisons cycle through the documents and then
/// through the neighbours.
constexpr duration compare_interval = 2s;
/// A comparison that is overdue by this time shows that the process was stalled. All neighbours are
/// then queried.
constexpr duration stall_threshold = 5s;
/// Time that a node has to answer a pull before another pull may be sent.
constexpr duration pull_timeout = 1s;
/// Maximum number of rows in a pushed delta. For larger changes only the digest is pushed.
constexpr std::size_t max_pushed_rows = 64;
/// Maximum time for which the first table is held back to wait for the neighbours' answers.
constexpr duration max_first_table_delay = 1s;
/// Time after a start at which each document that is still missing is logged.
constexpr duration missing_document_timeout = 2s;

/// State of one document on this node.
struct document_state {
    document_state(document_id document, std::uint64_t seed) : scheduler(document, seed) {}

    document_copy copy;
    platform_read_scheduler scheduler;
    time_point in_force_since;
    time_point confirmed_at;
    std::string source;
    revision latest_known;
    /// Set while a pull is in flight.
    std::optional<time_point> pull_deadline;
    /// Set while the first version waits for the neighbours' answers and is not yet in force.
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
          random_(settings_.seed), documents_{document_state(document_id::table, random_()),
                                              document_state(document_id::instances, random_())},
          neighbours_(settings_.self, settings_.domain),
          election_(settings_.self, settings_.domain) {}

    exchange_outputs start(time_point now) {
        now_ = now;
        election_.start(now);
        compare_at_ = now + jittered(compare_interval);
        missing_document_deadline_ = now + missing_document_timeout;
        for (const auto document : all_documents) {
            auto& entry = state_of(document);
            entry.confirmed_at = now;
            entry.in_force_since = now;
            entry.scheduler.start(now, settings_.planned_nodes);
        }
        return take_outputs();
    }

    exchange_outputs on_read(time_point now, document_id document, revision at,
                             std::string_view text) {
        now_ = now;
        auto& entry = state_of(document);
        if (at < entry.copy.at()) {
            ignore_stale(document, at);
            return take_outputs();
        }
        if (at == entry.copy.at()) {
            confirm(document);
            return take_outputs();
        }
        const refused_text received{at, stable_hash(text)};
        if (entry.scheduler.last_refused() == received) {
            platform_answered(document);
            entry.scheduler.on_refused(now, received);
            return take_outputs();
        }
        auto next = entry.copy.with_text(text, at);
        const auto validation = settings_.validate(document, *next.text());
        if (!validation.ok()) {
            platform_answered(document);
            entry.scheduler.on_refused(now, received);
            log(log_event::document_refused,
                fields_of(document, at, "problem", std::string(validation.message())));
            return take_outputs();
        }
        adopt(document, std::move(next), "platform");
        confirm(document);
        return take_outputs();
    }

    exchange_outputs on_unchanged(time_point now, document_id document) {
        now_ = now;
        confirm(document);
        return take_outputs();
    }

    exchange_outputs on_platform_failed(time_point now, document_id document) {
        now_ = now;
        platform_failed(document);
        return take_outputs();
    }

    exchange_outputs on_message(time_point now, const instance_id& from,
                                const control_message& message) {
        now_ = now;
        neighbours_.on_message_from(from);
        std::visit(overloaded{
                       [&](const document_digest& digest) { handle(from, digest); },
                       [&](const document_pull& pull) { handle(from, pull); },
                       [&](const document_delta& delta) { handle(from, delta); },
                       [](const auto&) {},
                   },
                   message);
        return take_outputs();
    }

    void on_members_changed(time_point now, const membership& members) {
        now_ = now;
        neighbours_.members_changed(members);
        election_.members_changed(neighbours_.own_domain());
        query_all_ = query_all_ || !has_list_;
        has_list_ = true;
        next_due_ = now;
    }

    exchange_outputs advance(time_point now) {
        if (next_due_ && now < *next_due_) {
            return {};
        }
        now_ = now;
        if (compare_at_ + stall_threshold <= now) {
            query_all_ = true;
        }
        election_.advance(now);
        neighbours_.advance(now);
        query_neighbours();
        compare_digests();
        release_first_versions();
        log_missing_documents();
        for (const auto document : all_documents) {
            advance(document);
        }
        return take_outputs();
    }

    std::optional<time_point> next_wake() const { return next_due_; }

    document_status status(document_id document) const {
        const auto& entry = state_of(document);
        const bool is_in_force = !entry.release_at;
        return {is_in_force ? entry.copy.at() : revision{},
                is_in_force ? entry.copy.hash() : 0,
                entry.in_force_since,
                entry.confirmed_at,
                entry.source,
                entry.latest_known,
                election_.is_reader()};
    }

private:
    document_state& state_of(document_id document) {
        return documents_[static_cast<std::size_t>(document)];
    }
    const document_state& state_of(document_id document) const {
        return documents_[static_cast<std::size_t>(document)];
    }

    void handle(const instance_id& from, const document_digest& digest) {
        auto& entry = state_of(digest.document);
        election_.on_epoch(now_, digest.epoch);
        entry.latest_known = std::max(entry.latest_known, digest.held_revision);
        const auto at = entry.copy.at();
        // Of two texts under the same revision, the one with the higher hash replaces the other.
        const bool same_revision = digest.held_revision == at && at.value > 0;
        const bool is_behind =
            digest.held_revision > at || (same_revision && digest.hash > entry.copy.hash());
        if (is_behind) {
            if (!was_refused(entry, digest.held_revision, digest.hash) &&
                settings_.mechanisms.pull) {
                pull(from, digest.document, same_revision ? revision{} : at, digest.reply_to);
            }
            return;
        }
        if (same_revision && digest.hash == entry.copy.hash()) {
            entry.confirmed_at = std::max(entry.confirmed_at, now_ - digest.age);
        }
        release(digest.document);
        if (!digest.is_answer) {
            send(from, make_digest(digest.document, true), digest.reply_to);
        }
    }

    void handle(const instance_id& from, const document_pull& pull) {
        const auto& entry = state_of(pull.document);
        if (entry.copy.at() > pull.held_revision) {
            send(from, entry.copy.changes_since(pull.document, pull.held_revision), pull.reply_to);
        }
    }

    void handle(const instance_id& from, const document_delta& delta) {
        auto& entry = state_of(delta.document);
        entry.latest_known = std::max(entry.latest_known, delta.to);
        const auto at = entry.copy.at();
        const bool is_tie = delta.to == at && at.value > 0 && delta.hash > entry.copy.hash();
        if ((delta.to <= at && !is_tie) || was_refused(entry, delta.to, delta.hash)) {
            return;
        }
        entry.pull_deadline.reset();
        auto next = entry.copy.with_delta(delta);
        if (!next.ok()) {
            recover_from_failed_delta(from, delta, next.status());
            return;
        }
        const auto validation = settings_.validate(delta.document, *next->text());
        if (!validation.ok()) {
            entry.scheduler.on_refused(now_, {delta.to, delta.hash});
            log(log_event::document_refused,
                fields_of(delta.document, delta.to, "problem", std::string(validation.message())));
            return;
        }
        adopt(delta.document, *std::move(next), from.str());
    }

    /// Handles a delta that could not be applied: pulls the missing changes, or the whole document
    /// if the delta does not fit the local version.
    void recover_from_failed_delta(const instance_id& from, const document_delta& delta,
                                   const absl::Status& failure) {
        if (delta.base.value == 0 || !settings_.mechanisms.pull) {
            return;
        }
        auto& entry = state_of(delta.document);
        const bool is_gap = delta.base > entry.copy.at();
        pull(from, delta.document, is_gap ? entry.copy.at() : revision{}, {});
        if (!is_gap) {
            log(log_event::document_repaired,
                fields_of(delta.document, delta.to, "problem", std::string(failure.message())));
        }
    }

    static bool was_refused(const document_state& entry, revision at, std::uint64_t hash) {
        return entry.scheduler.last_refused() == refused_text{at, hash};
    }

    /// Accepts a newer version, puts it in force unless it has to wait, and pushes it to the
    /// neighbours.
    void adopt(document_id document, document_copy next, const std::string& source) {
        auto& entry = state_of(document);
        const auto previous = entry.copy.at();
        entry.copy = std::move(next);
        entry.in_force_since = now_;
        entry.source = source;
        entry.latest_known = std::max(entry.latest_known, entry.copy.at());
        entry.scheduler.on_accepted();
        const bool must_wait = document == document_id::table && previous.value == 0 &&
                               settings_.mechanisms.query_neighbours_first;
        if (must_wait) {
            entry.release_at = now_ + max_first_table_delay;
        }
        if (!entry.release_at) {
            put_in_force(document);
        } else if (source != "platform") {
            release(document);
        }
        push(document, previous, source);
    }

    void put_in_force(document_id document) {
        const auto& entry = state_of(document);
        log(log_event::document_accepted,
            fields_of(document, entry.copy.at(), "source", entry.source));
        out_.emplace_back(document_changed{document, entry.copy.at(), entry.copy.text()});
    }

    /// Puts a first version in force that was held back; does nothing otherwise.
    void release(document_id document) {
        auto& entry = state_of(document);
        if (entry.release_at) {
            entry.release_at.reset();
            put_in_force(document);
        }
    }

    void release_first_versions() {
        for (const auto document : all_documents) {
            const auto& entry = state_of(document);
            const bool has_no_neighbours = has_list_ && neighbours_.chosen().empty();
            if (entry.release_at && (*entry.release_at <= now_ || has_no_neighbours)) {
                release(document);
            }
        }
    }

    void push(document_id document, revision previous, const std::string& source) {
        if (!settings_.mechanisms.push) {
            return;
        }
        const auto& entry = state_of(document);
        const auto base = settings_.mechanisms.deltas ? previous : revision{};
        const auto delta = entry.copy.changes_since(document, base);
        const bool is_small = delta.base.value > 0 && delta.rows.size() <= max_pushed_rows;
        for (const auto& node : neighbours_.chosen()) {
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
        auto& entry = state_of(document);
        if (!entry.pull_deadline) {
            entry.pull_deadline = now_ + pull_timeout;
            send(from, document_pull{document, held, settings_.control}, address);
        }
    }

    document_digest make_digest(document_id document, bool is_answer) const {
        const auto& entry = state_of(document);
        return {document,          entry.copy.at(), entry.copy.hash(), now_ - entry.confirmed_at,
                election_.epoch(), is_answer,       settings_.control};
    }

    void query_neighbours() {
        if (!std::exchange(query_all_, false)) {
            return;
        }
        for (const auto& node : neighbours_.chosen()) {
            for (const auto document : all_documents) {
                send(node, make_digest(document, false), {});
            }
        }
    }

    /// Sends a digest to the next neighbour if a comparison is due.
    void compare_digests() {
        if (now_ < compare_at_) {
            return;
        }
        compare_at_ = now_ + jittered(compare_interval);
        if (!settings_.mechanisms.anti_entropy || neighbours_.chosen().empty()) {
            return;
        }
        const auto document = all_documents[comparisons_ % std::size(all_documents)];
        const auto round = comparisons_++ / std::size(all_documents);
        const auto node = neighbours_.chosen()[round % neighbours_.chosen().size()];
        neighbours_.on_comparison_sent(now_, node);
        send(node, make_digest(document, false), {});
    }

    void log_missing_documents() {
        if (!missing_document_deadline_ || now_ < *missing_document_deadline_) {
            return;
        }
        missing_document_deadline_.reset();
        for (const auto document : all_documents) {
            if (state_of(document).copy.at().value == 0) {
                log(log_event::serving_without_documents,
                    {{"document", std::string(name_of(document))}});
            }
        }
    }

    void advance(document_id document) {
        auto& entry = state_of(document);
        if (entry.pull_deadline && *entry.pull_deadline <= now_) {
            entry.pull_deadline.reset();
        }
        const auto conditions = conditions_of(entry);
        const auto due = entry.scheduler.due(conditions);
        if (due && *due <= now_) {
            out_.emplace_back(entry.scheduler.start_read(now_, conditions));
        }
    }

    read_conditions conditions_of(const document_state& entry) const {
        return {entry.copy.at(), entry.confirmed_at, election_.rank(),
                std::max(settings_.planned_nodes, neighbours_.fleet_size()),
                settings_.mechanisms.shared_reads};
    }

    /// Records that the platform confirmed the held version. A reader also sends its digest to the
    /// other readers and the standbys, which postpones the reads of the standbys.
    void confirm(document_id document) {
        platform_answered(document);
        auto& entry = state_of(document);
        entry.confirmed_at = now_;
        if (!settings_.mechanisms.shared_reads || !election_.is_reader()) {
            return;
        }
        for (const auto& node : election_.leading_peers()) {
            send(node, make_digest(document, true), {});
        }
    }

    void platform_answered(document_id document) {
        if (state_of(document).scheduler.on_answer(now_)) {
            log(log_event::platform_reachable, {{"document", std::string(name_of(document))}});
        }
    }

    void platform_failed(document_id document) {
        auto& entry = state_of(document);
        if (entry.scheduler.on_failure(now_, conditions_of(entry))) {
            log(log_event::platform_unreachable, {{"document", std::string(name_of(document))}});
        }
    }

    void ignore_stale(document_id document, revision at) {
        auto& entry = state_of(document);
        if (entry.scheduler.on_failure(now_, conditions_of(entry))) {
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

    /// Computes the next wake time and returns the pending outputs.
    exchange_outputs take_outputs() {
        next_due_ = std::min(compare_at_, election_.next_wake());
        const auto consider = [&](std::optional<time_point> at) {
            if (at && *at < *next_due_) {
                next_due_ = at;
            }
        };
        consider(missing_document_deadline_);
        for (const auto& entry : documents_) {
            consider(entry.pull_deadline);
            consider(entry.release_at);
            consider(entry.scheduler.due(conditions_of(entry)));
        }
        if (query_all_) {
            next_due_ = now_;
        }
        exchange_outputs out;
        out.swap(out_);
        return out;
    }

    exchange_settings settings_;
    random_source random_;
    std::array<document_state, std::size(all_documents)> documents_;
    neighbours neighbours_;
    reader_election election_;
    exchange_outputs out_;
    time_point now_;
    time_point compare_at_;
    std::uint64_t comparisons_ = 0;
    std::optional<time_point> missing_document_deadline_;
    std::optional<time_point> next_due_;
    bool query_all_ = false;
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
void document_exchange::on_members_changed(time_point now, const membership& members) {
    impl_->on_members_changed(now, members);
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
