// A site of two machines whose target sends the bytes that a test asks for.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "scripted_target.hpp"
#include "two_machine_site.hpp"

namespace trefoil {

/// Two machines; only the target of machine 0 gets requests. It answers each with the same status
/// line, the id of the request, the stamp and the same text behind them.
struct scripted_site {
    two_machine_site site;
    std::unique_ptr<scripted_target> target;
    std::string version = "HTTP/1.1";
    std::string status = "200 OK";
    std::string answer_rest;

    scripted_site() {
        site.targets[0].reset();
        target = std::make_unique<scripted_target>(
            &site.loop, endpoint{site.ip(0), site.target_port},
            [this](const scripted_request& request) {
                last_connection = request.connection;
                target->send(request.connection, version + " " + status + "\r\nid: " + request.id +
                                                     "\r\nstamp: s\r\n" + answer_rest);
            });
        for (const std::size_t machine : {0U, 1U}) {
            site.change({site.instance(1, listed_state::draining)}, machine);
        }
    }

    /// Sends a request with an id of its own.
    reply ask(std::size_t machine, const std::string& method = "GET") {
        site.caller_id = "caller-" + std::to_string(++ids);
        site.caller_method = method;
        return site.ask("/write/1", {}, machine);
    }

    int ids = 0;
    /// The connection of the last request that reached the target.
    std::size_t last_connection = 0;
};

inline std::string field(const reply& got, std::string_view name) {
    return std::string(find_header(got.headers, name));
}

} // namespace trefoil
