#include <trefoil/node/node_settings.hpp>

namespace trefoil {

void declare_options(option_set& options, node_settings& s) {
    options.add_text("instance", &s.instance, "id of the target instance, unique in the fleet",
                     true);
    options.add_text("service", &s.service, "service of the target", true);
    options.add_text("domain", &s.domain, "failure domain", true);
    options.add_text("region", &s.region, "region of the failure domain", true);
    options.add_endpoint("caller-listener", &s.caller_listener,
                         "where callers outside the fleet send requests", true);
    options.add_endpoint("app-listener", &s.app_listener,
                         "where the target sends its own calls; a loopback address", true);
    options.add_endpoint("peer-listener", &s.peer_listener, "where other nodes send calls", true);
    options.add_endpoint("control-listener", &s.control_listener,
                         "where other nodes send control messages", true);
    options.add_endpoint("admin-listener", &s.admin_listener,
                         "where operators read /metrics, /status and /healthz", true);
    options.add_endpoint("target", &s.target, "the target's address", true);
    options.add_endpoint("platform", &s.platform, "the configuration service's address", true);
    options.add_count("slots", &s.slots, 1, 100'000, "calls",
                      "limit on the calls that the target processes at once");
    options.add_count("connections", &s.connections, 1, 1'000'000, "connections",
                      "connections that the target accepts");
    options.add_number("queue-per-slot", &s.queue_per_slot, 0, 100, "ratio",
                       "calls that may wait for each slot");
    options.add_number(
        "recovery-speed", &s.recovery_speed, 0, 1, "ratio",
        "how soon refused load is admitted again: 0 wastes less work under overload, "
        "1 returns to normal sooner");
    options.add_milliseconds("drain-limit", &s.drain_limit, 0, 3'600'000,
                             "how long a stop waits for calls in flight");
    options.add_count("max-body-bytes", &s.max_body_bytes, 1, 64'000'000, "bytes",
                      "largest request body that a listener accepts");
    options.add_count(
        "planned-nodes", &s.planned_nodes, 1, 1'000'000, "nodes",
        "planned number of nodes in the fleet; spreads the first reads of the platform");
    options.add_switch("check-settings", &s.check_only, "checks the settings and exits");
}

core_settings to_core_settings(const node_settings& s, std::uint64_t random,
                               std::string key_secret) {
    core_settings core;
    core.self = instance_id(s.instance);
    core.service = service_name(s.service);
    core.domain = domain_name(s.domain);
    core.region = region_name(s.region);
    core.peer_address = *s.peer_listener;
    core.control_address = *s.control_listener;
    core.planned_nodes = s.planned_nodes;
    core.incarnation = {random};
    core.key_secret = std::move(key_secret);
    core.admission = {static_cast<std::uint32_t>(s.slots),
                      static_cast<std::uint32_t>(s.connections),
                      s.queue_per_slot,
                      s.recovery_speed,
                      {}};
    core.drain_limit = s.drain_limit;
    core.seed = random ^ 0x9E3779B97F4A7C15ULL;
    return core;
}

} // namespace trefoil
