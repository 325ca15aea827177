// Sites: simulated deployments with their services, request kinds and call graphs.
#pragma once

#include <map>
#include <string>
#include <vector>

#include <trefoil/emulator/virtual_fleet.hpp>
#include <trefoil/table/table.hpp>

namespace trefoil {

/// One service. One instance of it runs in each failure domain.
struct site_service {
    service_name name;
    /// Requests that one instance processes concurrently.
    std::uint32_t slots = 1;
    /// Connections that one instance accepts.
    std::uint32_t connections = 1;

    friend bool operator==(const site_service&, const site_service&) = default;
};

/// A kind of request and its part of the load.
struct site_kind {
    table_row row;
    /// Path of the caller's request; its service and method are those of the row.
    std::string path;
    /// Fraction of all requests.
    double share = 0;
    /// True for the kinds that must be shed last: consent changes, bookings, payments.
    bool is_protected = false;
    /// True for the kinds that must be shed first: exports, availability checks.
    bool is_shed_first = false;

    friend bool operator==(const site_kind&, const site_kind&) = default;
};

/// Identifies the work of a service by the first segment of the path.
struct site_step {
    std::string service;
    std::string segment;

    friend auto operator<=>(const site_step&, const site_step&) = default;
};

/// A site: failure domains, services, request kinds and the calls that each makes.
struct site {
    std::string name;
    std::vector<std::string> domains;
    std::vector<site_service> services;
    std::vector<site_kind> kinds;
    std::map<site_step, service_work> steps;
    network_settings network;
    /// Requests per second of all callers under normal load.
    double normal_rate = 0;
};

/// The sleep registry's mesh in Kigali.
site kigali_site();
/// The survey platform's mesh in Netherlands west.
site keurwoning_site();

/// Returns the work of a service for a path; for an unknown path, 1 ms of computation and no calls.
service_work work_at(const site& where, const service_name& service, const std::string& path);

/// Multipliers on the computation times of services, by the name of the service.
using slow_services = std::map<std::string, double>;

/// Computes the mean time for which one call occupies the slots of each service, child calls
/// included and without any queueing. Adds the times to `held`, by the name of the service, and
/// returns the time of the call itself.
duration add_holding_times(const site& where, const slow_services& slow,
                           const service_name& service, const std::string& path,
                           std::map<std::string, duration>& held);

/// Returns the body of a complete response to the call, except for the order of parallel calls.
std::string expected_answer(const site& where, const service_name& service, const std::string& path,
                            const std::string& body);

/// Returns the site's table as CSV text.
std::string table_text(const site& where);

} // namespace trefoil
