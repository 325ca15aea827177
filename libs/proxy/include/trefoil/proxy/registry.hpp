// Interface to the platform's store of configuration and instances.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <trefoil/base/time.hpp>
#include <trefoil/traffic/instance_directory.hpp>
#include <trefoil/traffic/traffic_config.hpp>

namespace trefoil {

/// Parts of the registry; each is read with a separate request.
enum class registry_topic : std::uint8_t { config, instances };

/// The entry of an instance was removed.
struct instance_removed {
    instance_id id;

    friend bool operator==(const instance_removed&, const instance_removed&) = default;
};

/// An item that cannot be decoded. If it names an instance, that instance is not used either.
struct unreadable_item {
    /// Key of the item in the store.
    std::string key;
    /// The invalid field and the error.
    std::string problem;
    /// Empty if the item names no instance.
    instance_id id;

    friend bool operator==(const unreadable_item&, const unreadable_item&) = default;
};

using registry_change =
    std::variant<traffic_config, listed_instance, instance_removed, unreadable_item>;

/// One item as the registry publishes it, not decoded, or its removal. Nodes pass records on to
/// each other.
struct registry_record {
    /// Key of the item in the registry.
    std::string key;
    /// Published form of the item, which the registry's client can decode; empty for a removal.
    std::string value;
    /// Revision of this change; 0 if unknown.
    std::uint64_t revision = 0;
    /// Revision that created the item; 0 if unknown.
    std::uint64_t created = 0;
    bool is_removal = false;

    friend bool operator==(const registry_record&, const registry_record&) = default;
};

/// Place in the history of the registry. When it comes back from an older copy, its era rises, and
/// the revisions since the copy are given out again.
struct registry_position {
    /// 0 if the registry doesn't name its era.
    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    friend auto operator<=>(const registry_position&, const registry_position&) = default;
};

/// Changes in the order in which they were made. The result of a full read contains all items.
struct registry_changes {
    std::vector<registry_record> records;
    /// Revision of the store after the changes.
    std::uint64_t revision = 0;
    /// True if the answer contained any event, including events of unrelated keys. An empty answer
    /// does not show whether a watch has missed changes.
    bool has_events = false;
    /// Era of the registry that gave the answer; 0 if unknown.
    std::uint64_t era = 0;

    friend bool operator==(const registry_changes&, const registry_changes&) = default;
};

/// Whether a read returns the current state. A serializable read costs the registry less, and its
/// answer may be seconds old.
enum class read_consistency : std::uint8_t { linearizable, serializable };

/// Why a read or a watch failed.
enum class registry_error : std::uint8_t {
    /// No connection, no response within the time limit, a truncated response, or one that exceeds
    /// the size limit.
    unreachable,
    /// The store currently refuses requests.
    refused,
    /// The store no longer keeps the changes since the revision.
    history_gone,
    /// The response cannot be decoded.
    bad_answer,
    /// The response is from an older era than what is known, or its parts are from several.
    outdated,
};

std::string_view name_of(registry_error problem);

using registry_result = std::variant<registry_changes, registry_error>;

/// Time limits of a request to the registry.
struct request_timeouts {
    /// Maximum time to establish a connection.
    duration connect{0};
    /// Maximum time without a byte of the answer, beyond the time that the registry may wait.
    duration answer{0};

    friend bool operator==(const request_timeouts&, const request_timeouts&) = default;
};

/// Client of the store, implemented by the adapter of a platform. At most one request is in
/// progress at a time.
class registry_client {
public:
    using done_handler = std::function<void(registry_result)>;

    virtual ~registry_client() = default;

    /// Decodes a record, also one that another node has passed on. Returns nothing for a key that
    /// has no meaning to the proxy.
    virtual std::optional<registry_change> decode(const registry_record& record) const = 0;

    /// Reads all items of the topic. Fails with `unreachable` if a time limit is exceeded. `done`
    /// is called once, asynchronously.
    virtual void read(registry_topic topic, read_consistency consistency,
                      const request_timeouts& timeouts, done_handler done) = 0;

    /// Waits up to `wait` for changes of any topic that were made after the revision. Fails with
    /// `unreachable` if a time limit is exceeded; that of the answer begins after `wait`. `done` is
    /// called once, asynchronously.
    virtual void watch(std::uint64_t after, duration wait, const request_timeouts& timeouts,
                       done_handler done) = 0;
};

} // namespace trefoil
