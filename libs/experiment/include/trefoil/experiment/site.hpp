// Sites of users with call graphs, as experiments load them.
#pragma once

#include <map>
#include <string>
#include <vector>

#include <trefoil/emulator/virtual_fleet.hpp>
#include <trefoil/table/table.hpp>

namespace trefoil {

/// One service; a worker of it stands in each failure domain.
struct site_service {
    service_name name;
    /// Requests that one worker works on at once.
    std::uint32_t slots = 1;
    /// Connections that one worker accepts.
    std::uint32_t connections = 1;

    friend bool operator==(const site_service&, const site_service&) = default;
};

/// A kind of request as callers send it.
struct site_kind {
    table_row row;
    /// Path of the first leg; its service and method are those of the row.
    std::string path;
    /// Share of all requests.
    double share = 0;
    /// True for the kinds that must be shed last: consent changes, bookings, payments.
    bool is_protected = false;
    /// True for the kinds that must be shed first: exports, availability checks.
    bool is_least = false;

    friend bool operator==(const site_kind&, const site_kind&) = default;
};

/// What a service does for a path, named by the path's first segment.
struct site_step {
    std::string service;
    std::string segment;

    friend auto operator<=>(const site_step&, const site_step&) = default;
};

/// A site: failure domains, services, kinds of request and the calls that each makes.
struct site {
    std::string name;
    std::vector<std::string> domains;
    std::vector<site_service> services;
    std::vector<site_kind> kinds;
    std::map<site_step, service_work> steps;
    network_settings network;
    /// Requests a second of callers when nothing is wrong.
    double normal_rate = 0;
};

/// The sleep registry's mesh in Kigali.
site kigali_site();
/// The survey platform's mesh in Netherlands west.
site keurwoning_site();

/// What a service does for a path; nothing but a short computation for unknown ones.
service_work work_at(const site& where, const service_name& service, const std::string& path);

/// Factor on the computations of a service, by the service's name.
using slow_services = std::map<std::string, double>;

/// Mean time that each service's slots are held by one request whose first leg is this call, with
/// no waiting anywhere. Adds to `held` and returns the time of the call itself.
duration add_holding_times(const site& where, const slow_services& slow,
                           const service_name& service, const std::string& path,
                           std::map<std::string, duration>& held);

/// The body that a complete answer to the call has, up to the order of parallel calls.
std::string expected_answer(const site& where, const service_name& service, const std::string& path,
                            const std::string& body);

/// The site's table as CSV.
std::string table_text(const site& where);

} // namespace trefoil
