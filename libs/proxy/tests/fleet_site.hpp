// Proxies in one process, connected over loopback, with an in-memory registry of which each node
// can be cut off.
#pragma once

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <unistd.h>
#include <uv.h>

#include <trefoil/http1/client.hpp>
#include <trefoil/http1/loop_timer.hpp>
#include <trefoil/proxy/proxy_node.hpp>

namespace trefoil {

inline constexpr std::size_t node_count = 10;
inline constexpr std::uint64_t first_version = 5;
inline const service_name service("s");

enum class registry_mode : std::uint8_t { serving, silent, refusing };

/// A registry with one configuration and one instance for each node. The value of a configuration's
/// record is its version, that of an instance the number of its machine.
class fleet_registry {
public:
    explicit fleet_registry(uv_loop_t* loop)
        : loop_(loop), timer_(loop, [this] { answer_watches(); }) {
        for (std::size_t node = 0; node < node_count; ++node) {
            list_instance(node);
        }
        publish(first_version);
        timer_.start_repeating(5ms);
    }

    void publish(std::uint64_t version) { put("config", std::to_string(version)); }
    void list_instance(std::size_t node) { put(instance_key(node), std::to_string(node)); }

    void remove_instance(std::size_t node) {
        items_.erase(instance_key(node));
        ++revision_;
        history_.push_back({instance_key(node), {}, revision_, 0, true});
    }

    /// What the registry holds.
    struct copy {
        std::map<std::string, registry_record> items;
        std::vector<registry_record> history;
        std::uint64_t revision = 0;
        std::uint64_t oldest_revision = 0;
    };

    copy make_copy() const { return {items_, history_, revision_, oldest_revision_}; }

    /// Goes back to an older copy: revisions since then are given out again, in a new era.
    void restore(const copy& older) {
        items_ = older.items;
        history_ = older.history;
        revision_ = older.revision;
        oldest_revision_ = older.oldest_revision;
        ++era_;
    }

    std::uint64_t revision() const { return revision_; }

    /// Watches from a revision before the present one fail from now on.
    void forget_history() {
        history_.clear();
        oldest_revision_ = revision_;
    }

    /// Requests of the node are handled like this from now on; those that wait stay unanswered if
    /// the node is not served.
    void set_mode(std::size_t node, registry_mode mode) {
        modes_[node] = mode;
        if (mode != registry_mode::serving) {
            std::erase_if(watches_, [&](const watch& waiting) { return waiting.node == node; });
        }
    }

    std::size_t calls() const { return calls_; }
    std::size_t calls_of(std::size_t node) const {
        const auto found = calls_by_node_.find(node);
        return found == calls_by_node_.end() ? 0 : found->second;
    }

    class client;

private:
    struct watch {
        std::size_t node = 0;
        std::uint64_t after = 0;
        time_point until;
        registry_client::done_handler done;
    };

    static std::string instance_key(std::size_t node) { return fmt::format("instance/{}", node); }

    void put(const std::string& key, const std::string& value) {
        ++revision_;
        const auto present = items_.find(key);
        const auto created = present == items_.end() ? revision_ : present->second.created;
        items_[key] = {key, value, revision_, created, false};
        history_.push_back(items_[key]);
    }

    registry_mode count_call(std::size_t node, bool is_priced) {
        calls_ += is_priced ? 1 : 0;
        calls_by_node_[node] += is_priced ? 1 : 0;
        return modes_[node];
    }

    registry_changes read(registry_topic topic) const {
        registry_changes all{{}, revision_, true, era_};
        for (const auto& [key, record] : items_) {
            if ((key == "config") == (topic == registry_topic::config)) {
                all.records.push_back(record);
            }
        }
        return all;
    }

    registry_result changes_after(std::uint64_t revision) const {
        if (revision < oldest_revision_ || revision > revision_) {
            return registry_error::history_gone;
        }
        registry_changes changes{{}, revision_, false, era_};
        for (const auto& record : history_) {
            if (record.revision > revision) {
                changes.records.push_back(record);
            }
        }
        changes.has_events = !changes.records.empty();
        return changes;
    }

    void answer_watches() {
        const auto now = http1::loop_time(loop_);
        std::vector<std::function<void()>> answers;
        std::erase_if(watches_, [&](const watch& waiting) {
            const auto result = changes_after(waiting.after);
            const auto* changes = std::get_if<registry_changes>(&result);
            if (changes != nullptr && !changes->has_events && now < waiting.until) {
                return false;
            }
            answers.push_back([done = waiting.done, result] { done(result); });
            return true;
        });
        for (const auto& answer : answers) {
            answer();
        }
    }

    uv_loop_t* loop_;
    std::map<std::string, registry_record> items_;
    std::vector<registry_record> history_;
    std::uint64_t revision_ = 0;
    std::uint64_t oldest_revision_ = 0;
    std::uint64_t era_ = 1;
    std::map<std::size_t, registry_mode> modes_;
    std::map<std::size_t, std::size_t> calls_by_node_;
    std::size_t calls_ = 0;
    std::list<watch> watches_;
    http1::loop_timer timer_;
};

inline std::string ip_of(std::size_t node) {
    constexpr int processes_per_block = 250;
    return fmt::format("127.{}.{}.{}", 170 + getpid() / processes_per_block % 80,
                       1 + getpid() % processes_per_block, node + 1);
}

/// The registry's client of one node.
class fleet_registry::client : public registry_client {
public:
    client(fleet_registry& registry, std::size_t node)
        : registry_(registry), node_(node), timer_(registry.loop_, [this] { answer(); }) {}
    ~client() override {
        std::erase_if(registry_.watches_,
                      [&](const fleet_registry::watch& waiting) { return waiting.node == node_; });
    }
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    std::optional<registry_change> decode(const registry_record& record) const override {
        if (record.is_removal) {
            return instance_removed{instance_id(record.key)};
        }
        const auto number = std::stoul(record.value);
        if (record.key == "config") {
            traffic_config config;
            config.version = number;
            return config;
        }
        listed_instance listed;
        listed.id = instance_id(record.key);
        listed.service = service;
        listed.target = {ip_of(number), 9};
        listed.domain = domain_name("a");
        listed.registry_revision = record.created;
        return listed;
    }

    void read(registry_topic topic, read_consistency consistency, const request_timeouts& timeouts,
              done_handler done) override {
        const auto mode =
            registry_.count_call(node_, consistency == read_consistency::linearizable);
        start(mode, timeouts.connect, done, [this, topic, done] { done(registry_.read(topic)); });
    }

    void watch(std::uint64_t after, duration wait, const request_timeouts& timeouts,
               done_handler done) override {
        const auto mode = registry_.count_call(node_, true);
        if (mode != registry_mode::serving) {
            start(mode, timeouts.connect, done, {});
            return;
        }
        const auto until = http1::loop_time(registry_.loop_) + wait;
        registry_.watches_.push_back({node_, after, until, [this, done](registry_result result) {
                                          timer_.stop();
                                          done(std::move(result));
                                      }});
        start(registry_mode::silent, wait + timeouts.answer, done, {});
    }

private:
    void start(registry_mode mode, duration timeout, const done_handler& done,
               std::function<void()> serve) {
        constexpr duration latency = 4ms;
        switch (mode) {
        case registry_mode::serving:
            answer_ = std::move(serve);
            timer_.start(latency);
            return;
        case registry_mode::refusing:
            answer_ = [done] { done(registry_error::refused); };
            timer_.start(latency);
            return;
        case registry_mode::silent:
            answer_ = [this, done] {
                std::erase_if(registry_.watches_,
                              [&](const auto& waiting) { return waiting.node == node_; });
                done(registry_error::unreachable);
            };
            timer_.start(timeout);
        }
    }

    void answer() {
        const auto answer = std::exchange(answer_, {});
        answer();
    }

    fleet_registry& registry_;
    std::size_t node_;
    std::function<void()> answer_;
    http1::loop_timer timer_;
};

/// Ten machines in this process.
struct fleet_site {
    /// One failure domain whose nodes share the reading, or one for each machine.
    enum class layout : std::uint8_t { one_domain, own_domains };

    uv_loop_t loop{};
    std::unique_ptr<fleet_registry> registry;
    std::vector<std::unique_ptr<proxy_node>> nodes;
    std::uint16_t port = static_cast<std::uint16_t>(24'000 + getpid() % 8'000);

    explicit fleet_site(layout domains = layout::one_domain) : domains_(domains) {
        uv_loop_init(&loop);
        registry = std::make_unique<fleet_registry>(&loop);
        nodes.resize(node_count);
        for (std::size_t i = 0; i < node_count; ++i) {
            start_node(i);
        }
        REQUIRE(all_have(first_version, 3s));
        // A node that has started polls its first reader.
        run_for(settings(0).stable_window);
    }

    ~fleet_site() {
        nodes.clear();
        registry.reset();
        uv_run(&loop, UV_RUN_DEFAULT);
        uv_loop_close(&loop);
    }

    domain_name domain_of(std::size_t i) const {
        return domain_name(domains_ == layout::one_domain ? "a" : fmt::format("a{}", i));
    }

    proxy_settings settings(std::size_t i) const {
        proxy_settings made;
        made.name = fmt::format("m{}", i);
        made.domain = domain_of(i);
        made.service = service;
        made.target = {ip_of(i), 9};
        made.caller_listener = {ip_of(i), port};
        made.peer_listener = {ip_of(i), static_cast<std::uint16_t>(port + 1)};
        made.ready_listener = {ip_of(i), static_cast<std::uint16_t>(port + 2)};
        made.metrics_listener = {ip_of(i), static_cast<std::uint16_t>(port + 3)};
        return made;
    }

    void start_node(std::size_t i) {
        platform_access sources;
        sources.registry = std::make_unique<fleet_registry::client>(*registry, i);
        sources.reload = [this, i]() -> absl::StatusOr<proxy_settings> { return settings(i); };
        nodes[i] = std::make_unique<proxy_node>(&loop, settings(i), std::move(sources), i + 1);
        REQUIRE(nodes[i]->open().ok());
    }

    bool run_until(const std::function<bool()>& condition, duration limit) {
        const auto end = http1::loop_time(&loop) + limit;
        while (!condition() && http1::loop_time(&loop) < end) {
            uv_run(&loop, UV_RUN_ONCE);
        }
        return condition();
    }

    void run_for(duration span) {
        run_until([] { return false; }, span);
    }

    /// Returns the configuration that is in force at a node.
    std::uint64_t version_of(std::size_t node) { return metric_of(node, "trefoil_config_version"); }
    /// Returns the number of instances that a node knows and has not dropped.
    std::uint64_t instances_of(std::size_t node) { return metric_of(node, "trefoil_instances"); }

    std::uint64_t metric_of(std::size_t node, const std::string& metric) {
        http1::request_head head;
        head.method = "GET";
        head.target = "/";
        // A client of its own, since the node may have been replaced since the last question.
        http1::client client(&loop, http1::connection_pool_limits{});
        std::string body;
        bool is_finished = false;
        const auto exchange =
            client.start(settings(node).metrics_listener, head, {}, true, {},
                         [&](const http1::exchange_event& event) {
                             if (const auto* piece = std::get_if<http1::body_piece>(&event)) {
                                 body += piece->bytes;
                             }
                             is_finished = std::holds_alternative<http1::message_end>(event) ||
                                           std::holds_alternative<http1::exchange_failure>(event);
                         });
        REQUIRE(run_until([&] { return is_finished; }, 1s));
        const auto name = "\n" + metric + " ";
        const auto at = body.find(name);
        REQUIRE(at != std::string::npos);
        return std::stoull(body.substr(at + name.size()));
    }

    bool all_have(std::uint64_t version, duration limit) {
        const auto end = http1::loop_time(&loop) + limit;
        for (std::size_t node = 0; node < node_count; ++node) {
            while (nodes[node] != nullptr && version_of(node) != version) {
                if (http1::loop_time(&loop) >= end) {
                    return false;
                }
                run_for(10ms);
            }
        }
        return true;
    }

    /// Returns the nodes that read the registry within the time.
    std::vector<std::size_t> readers_within(duration span) {
        std::vector<std::size_t> before;
        for (std::size_t node = 0; node < node_count; ++node) {
            before.push_back(registry->calls_of(node));
        }
        run_for(span);
        std::vector<std::size_t> readers;
        for (std::size_t node = 0; node < node_count; ++node) {
            if (registry->calls_of(node) > before[node]) {
                readers.push_back(node);
            }
        }
        return readers;
    }

private:
    layout domains_;
};

} // namespace trefoil
