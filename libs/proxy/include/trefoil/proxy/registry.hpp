// What a proxy reads of the platform's store of configuration and instances.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <trefoil/base/time.hpp>
#include <trefoil/traffic/instance_directory.hpp>
#include <trefoil/traffic/traffic_config.hpp>

namespace trefoil {

/// What is read, each with a call of its own.
enum class registry_topic : std::uint8_t { config, instances };

/// An instance's entry is gone.
struct instance_removed {
    instance_id id;

    friend bool operator==(const instance_removed&, const instance_removed&) = default;
};

/// An item that can't be used. If it names an instance, the instance is not usable either.
struct unreadable_item {
    std::string key;
    /// The field and what is wrong with it.
    std::string problem;
    instance_id id;

    friend bool operator==(const unreadable_item&, const unreadable_item&) = default;
};

using registry_change =
    std::variant<traffic_config, listed_instance, instance_removed, unreadable_item>;

/// Changes in their order. After a full read they are everything that there is.
struct registry_changes {
    std::vector<registry_change> changes;
    /// The store's revision that the changes lead to.
    std::uint64_t revision = 0;
    /// True if the answer held anything at all, also of keys that concern nobody here. An empty
    /// answer says nothing of changes that a watch has missed.
    bool has_events = false;

    friend bool operator==(const registry_changes&, const registry_changes&) = default;
};

/// Why a read gave nothing.
enum class registry_problem : std::uint8_t {
    /// No connection, no answer in time or a broken one.
    unreachable,
    /// The store refuses calls at present.
    refused,
    /// The changes since the revision are no longer kept.
    history_gone,
    /// An answer that can't be read.
    bad_answer,
};

std::string_view name_of(registry_problem problem);

using registry_result = std::variant<registry_changes, registry_problem>;

/// Reads the store; implemented by the adapter of a platform. One call at a time.
class registry_client {
public:
    using done_handler = std::function<void(registry_result)>;

    virtual ~registry_client() = default;

    /// Reads everything of the topic. `done` is called once, later.
    virtual void read(registry_topic topic, done_handler done) = 0;

    /// Waits for changes of any topic after the revision, at most for `wait`. `done` is called
    /// once, later.
    virtual void watch(std::uint64_t after, duration wait, done_handler done) = 0;
};

} // namespace trefoil
