// Answers the polls of other nodes.
#pragma once

#include <list>
#include <memory>
#include <optional>
#include <string>

#include <trefoil/http1/server.hpp>
#include <trefoil/proxy/registry_replica.hpp>

#include "registry_poll.hpp"

namespace trefoil {

/// What a node can tell others.
struct replica_state {
    /// Null until the registry has been read completely.
    const registry_replica* replica = nullptr;
    /// Time since the replica was last known to be current.
    duration age{0};
    bool is_registry_lost = false;
    /// Time since the start of the last request to the registry that failed; empty if that is long
    /// ago.
    std::optional<duration> since_failure;
};

/// Answers polls: at once if there are changes or the poll is urgent, else when the replica is next
/// known to be current. Times are those of a clock that also counts while the machine is suspended.
class registry_poll_server {
public:
    /// Handles a request with a poll. One that can't be decoded is answered with status 400.
    void serve(time_point now, const std::shared_ptr<http1::served_request>& request,
               const replica_state& state);

    /// Answers the waiting polls after the replica was confirmed or changed, or the registry was
    /// found to be unavailable.
    void answer_all(time_point now, const replica_state& state);

    /// Refuses the waiting polls and all later ones, since this node stops.
    void close();

private:
    struct waiting_poll {
        registry_poll poll;
        time_point arrived;
        std::shared_ptr<http1::served_request> request;
    };

    void answer(time_point now, const waiting_poll& poll, const replica_state& state);

    std::list<waiting_poll> waiting_;
    bool is_closed_ = false;
    /// Records of the last answer, which many nodes ask for alike.
    registry_difference cached_difference_;
    std::optional<registry_position> cached_after_;
    std::shared_ptr<const std::string> cached_records_;
};

} // namespace trefoil
