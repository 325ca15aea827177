// Measures the latency that two nodes add to a call.
#pragma once

#include <string>

#include <trefoil/base/endpoint.hpp>
#include <trefoil/telemetry/latency_histogram.hpp>

namespace trefoil {

/// Parameters of a latency comparison.
struct compare_plan {
    /// Address of the target, for requests without nodes.
    endpoint direct;
    /// Caller listener of a node that forwards the request to that target through a second node.
    endpoint via_node;
    /// Service of the target.
    std::string service;
    std::uint64_t pairs = 5000;
    /// Pairs per second.
    double rate = 330;
};

/// Latency quantiles in milliseconds over all successful pairs.
struct compare_result {
    std::uint64_t pairs = 0;
    std::uint64_t failed = 0;
    double direct_p50_ms = 0;
    double direct_p99_ms = 0;
    double through_p50_ms = 0;
    double through_p99_ms = 0;
    /// Quantiles of the difference within each pair.
    double added_p50_ms = 0;
    double added_p99_ms = 0;
};

/// Sends the pairs sequentially at the given rate. Each pair is one request to the target directly
/// and one through the nodes; the order alternates from pair to pair.
compare_result compare_latency(const compare_plan& plan);

/// Formats the result as one line of `name=value` fields.
std::string to_text(const compare_result& result);

} // namespace trefoil
