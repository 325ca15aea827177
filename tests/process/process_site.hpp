// A small site of real processes for tests: a fake platform, nodes and their targets.
#pragma once

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uv.h>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <trefoil/http/http_client.hpp>
#include <trefoil/http1/header_rules.hpp>
#include <trefoil/membership/member_list.hpp>

#include "../support/child_process.hpp"

namespace trefoil {

/// Configuration of one node and its target.
struct site_member {
    std::string name;
    std::string service;
    std::string domain = "d1";
    std::string calls;
    double work_ms = 1;
    std::uint64_t slots = 16;
};

/// Runs the processes of a site, publishes documents and sends requests. Waits only for conditions,
/// never for a fixed time.
class process_site {
public:
    process_site() {
        uv_loop_init(loop_);
        client_ = std::make_unique<http_client>(loop_);
        static int sites = 0;
        directory_ = std::filesystem::temp_directory_path() /
                     fmt::format("trefoil-site-{}-{}", ::getpid(), ++sites);
        std::filesystem::create_directories(directory_);
        platform_ = free_endpoint();
        operator_ = free_endpoint();
    }

    ~process_site() {
        nodes_.clear();
        targets_.clear();
        platform_process_.reset();
        std::filesystem::remove_all(directory_);
    }

    void start_platform(const std::string& table) {
        write("table.csv", table);
        write("instances.csv", member_text({}));
        platform_process_.emplace(
            std::vector<std::string>{FAKE_PLATFORM, "--listen", to_string(platform_), "--operate",
                                     to_string(operator_), "--table", file("table.csv"),
                                     "--instances", file("instances.csv")},
            file("platform.log"));
        wait_until([&] { return get(operator_, "/calls").has_value(); });
    }

    /// Adds a member and assigns its addresses. The next published instance list contains it.
    void add(site_member m) {
        const auto name = m.name;
        members_.emplace(name, std::move(m));
        for (const auto* role : {"caller", "app", "peer", "control", "admin", "target"}) {
            addresses_[name][role] = free_endpoint();
        }
    }

    void start_target(const std::string& name) {
        const auto& m = members_.at(name);
        std::vector<std::string> arguments{FAKE_TARGET,
                                           "--name",
                                           m.service,
                                           "--listen",
                                           to_string(address(name, "target")),
                                           "--node",
                                           to_string(address(name, "app")),
                                           "--work",
                                           fmt::format("{}", m.work_ms),
                                           "--slots",
                                           std::to_string(m.slots)};
        if (!m.calls.empty()) {
            arguments.insert(arguments.end(), {"--calls", m.calls});
        }
        targets_.erase(name);
        targets_.try_emplace(name, arguments, file(name + "-target.log"));
        wait_until([&] { return get(address(name, "target"), "/_runs").has_value(); });
    }

    void start_node(const std::string& name) {
        const auto& m = members_.at(name);
        std::vector<std::string> arguments{TREFOIL_NODE,
                                           "--instance",
                                           name,
                                           "--service",
                                           m.service,
                                           "--domain",
                                           m.domain,
                                           "--region",
                                           "r",
                                           "--slots",
                                           std::to_string(m.slots),
                                           "--platform",
                                           to_string(platform_)};
        for (const auto* role : {"caller", "app", "peer", "control", "admin"}) {
            arguments.insert(arguments.end(),
                             {fmt::format("--{}-listener", role), to_string(address(name, role))});
        }
        arguments.insert(arguments.end(), {"--target", to_string(address(name, "target"))});
        nodes_.erase(name);
        nodes_.try_emplace(name, arguments, file(name + "-node.log"));
    }

    /// Starts targets and nodes of all members and waits until each node has the table and the full
    /// instance list.
    void start_all() {
        publish_members();
        for (const auto& [name, m] : members_) {
            start_target(name);
            start_node(name);
        }
        for (const auto& [name, m] : members_) {
            wait_until([&, node = name] {
                const auto status = status_of(node);
                const auto all_members = fmt::format("\"members\":{}", members_.size());
                return status.find(all_members) != std::string::npos &&
                       status.find(R"("table":{"revision":0,)") == std::string::npos;
            });
        }
    }

    void publish(const std::string& key, const std::string& text) {
        http_request request{"PUT", "/v1/kv/" + key, service_name("platform"), {}, text, "", ""};
        REQUIRE(exchange(operator_, request).has_value());
    }

    /// Sets the lines that every published list contains in addition to the members of the site.
    void set_other_members(std::string lines) { other_members_ = std::move(lines); }

    void publish_members(const std::vector<std::string>& leaving = {}) {
        publish("instances", member_text(leaving));
    }

    /// Returns the number of calls that the fake platform has received, as text; empty on failure.
    std::string platform_calls() {
        const auto answer = get(operator_, "/calls");
        return answer ? answer->body : "";
    }

    void set_platform_mode(const std::string& mode) {
        REQUIRE(get(operator_, "/mode/" + mode).has_value());
    }

    /// Returns the number of calls that the fake platform has received, or 0 if the read failed.
    std::uint64_t platform_call_count() {
        const auto answer = get(operator_, "/calls");
        return answer ? std::strtoull(answer->body.c_str(), nullptr, 10) : 0;
    }

    /// Sends a request to a node's caller listener. Returns no value without a complete response.
    std::optional<http_answer> call(const std::string& name, const std::string& method,
                                    const std::string& path, const std::string& body,
                                    std::vector<http_header> headers = {}) {
        http_request request{
            method, path, service_name(members_.at(name).service), std::move(headers), body,
            "",     ""};
        return exchange(address(name, "caller"), request);
    }

    std::string status_of(const std::string& name) {
        const auto answer = get(address(name, "admin"), "/status");
        return answer ? answer->body : "";
    }

    std::string metrics_of(const std::string& name) {
        const auto answer = get(address(name, "admin"), "/metrics");
        return answer ? answer->body : "";
    }

    std::uint64_t runs_of(const std::string& name) {
        const auto answer = get(address(name, "target"), "/_runs");
        return answer ? std::strtoull(answer->body.c_str(), nullptr, 10) : 0;
    }

    /// Returns how often the target started to run requests with this body.
    std::uint64_t runs_of_body(const std::string& name, const std::string& body) {
        const auto answer = get(address(name, "target"), "/_counts");
        const auto counts = answer ? "\n" + answer->body : "";
        const auto line = "\n" + body + " ";
        const auto at = counts.find(line);
        return at == std::string::npos
                   ? 0
                   : std::strtoull(counts.c_str() + at + line.size(), nullptr, 10);
    }

    std::optional<http_answer> get(const endpoint& where, const std::string& path) {
        return exchange(where, {"GET", path, service_name("x"), {}, "", "", ""});
    }

    std::optional<http_answer> exchange(const endpoint& where, const http_request& request) {
        std::optional<exchange_result> result;
        client_->send(where, request, {}, [&](exchange_result r) { result = std::move(r); });
        while (!result) {
            uv_run(loop_, UV_RUN_ONCE);
        }
        auto* answer = std::get_if<http_answer>(&*result);
        return answer == nullptr ? std::nullopt : std::optional(std::move(*answer));
    }

    /// Sends a request without waiting. Calls `done` from the loop.
    http_client::request_id send(const std::string& name, const http_request& request,
                                 http_client::done_handler done) {
        return client_->send(address(name, "caller"), request, {}, std::move(done));
    }

    /// Cancels a request by closing its connection.
    void cancel(http_client::request_id sent) { client_->cancel(sent); }

    void run_loop_once() { uv_run(loop_, UV_RUN_ONCE); }

    /// Runs the loop until the condition holds. Fails the test after 60 s, which is far more than a
    /// working system needs.
    void wait_until(const std::function<bool()>& condition) {
        constexpr int max_polls = 3000;
        for (int i = 0; i < max_polls; ++i) {
            if (condition()) {
                return;
            }
            ::usleep(20'000);
            uv_run(loop_, UV_RUN_NOWAIT);
        }
        FAIL("a condition did not hold within 60 s");
    }

    child_process& node(const std::string& name) { return nodes_.at(name); }
    child_process& target(const std::string& name) { return targets_.at(name); }
    const endpoint& address(const std::string& name, const std::string& role) const {
        return addresses_.at(name).at(role);
    }
    std::string log_of(const std::string& name) const {
        std::ifstream in(file(name + "-node.log"));
        return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
    }

private:
    // Returns a free TCP port below the range from which the system selects the ports of outgoing
    // connections. A UDP socket that is bound to the same number reserves it against other test
    // programs until this one exits.
    static endpoint free_endpoint() {
        constexpr std::uint16_t lowest = 10000;
        constexpr std::uint16_t highest = 30000;
        static std::uint16_t next =
            static_cast<std::uint16_t>(lowest + ::getpid() * 131 % (highest - lowest));
        while (true) {
            next = next >= highest ? lowest : static_cast<std::uint16_t>(next + 1);
            if (bind_loopback(SOCK_DGRAM, next) >= 0) {
                const int probe = bind_loopback(SOCK_STREAM, next);
                if (probe >= 0) {
                    ::close(probe);
                    return {"127.0.0.1", next};
                }
            }
        }
    }

    // Returns the bound socket, or -1 if the port is in use.
    static int bind_loopback(int type, std::uint16_t port) {
        const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
            ::close(fd);
            return -1;
        }
        return fd;
    }

    std::string member_text(const std::vector<std::string>& leaving) const {
        std::string text = std::string(member_header) + "\n" + other_members_;
        for (const auto& [name, m] : members_) {
            const bool is_leaving =
                std::find(leaving.begin(), leaving.end(), name) != leaving.end();
            text +=
                format_member({instance_id(name), service_name(m.service), domain_name(m.domain),
                               region_name("r"), address(name, "peer"), address(name, "control"),
                               is_leaving ? member_state::leaving : member_state::live}) +
                "\n";
        }
        return text;
    }

    std::string file(const std::string& name) const { return (directory_ / name).string(); }

    void write(const std::string& name, const std::string& text) const {
        std::ofstream(file(name), std::ios::binary) << text;
    }

    uv_loop_t* loop_ = new uv_loop_t;
    std::unique_ptr<http_client> client_;
    std::filesystem::path directory_;
    endpoint platform_;
    endpoint operator_;
    std::map<std::string, site_member> members_;
    std::string other_members_;
    std::map<std::string, std::map<std::string, endpoint>> addresses_;
    std::optional<child_process> platform_process_;
    std::map<std::string, child_process> nodes_;
    std::map<std::string, child_process> targets_;
};

/// The header line of a table.
inline const std::string table_header = "kind,service,method,path,priority,weight,deadline_ms,"
                                        "retries,max_in_flight,once,max_bytes,slo_percent\n";

} // namespace trefoil
