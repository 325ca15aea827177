// Measures what the system adds to a call.
#pragma once

#include <string>

#include <trefoil/base/endpoint.hpp>
#include <trefoil/telemetry/latency_histogram.hpp>

namespace trefoil {

/// What is compared.
struct compare_plan {
    /// The target itself.
    endpoint direct;
    /// A node from which the request passes through one more node to the same target.
    endpoint through;
    std::string service;
    std::uint64_t pairs = 5000;
    /// Pairs a second.
    double rate = 330;
};

/// Quantiles in milliseconds over the pairs.
struct compare_result {
    std::uint64_t pairs = 0;
    std::uint64_t failed = 0;
    double direct_p50_ms = 0;
    double direct_p99_ms = 0;
    double through_p50_ms = 0;
    double through_p99_ms = 0;
    /// Difference of each pair.
    double added_p50_ms = 0;
    double added_p99_ms = 0;
};

/// Sends each request both ways, in turn first, one pair after the other at the rate.
compare_result compare_latency(const compare_plan& plan);

/// The result as one line of `name=value`.
std::string to_text(const compare_result& result);

} // namespace trefoil
