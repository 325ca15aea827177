// Speeds of the instances of one service, learned apart from the work of requests.
#pragma once

#include <string>
#include <unordered_map>

#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>

namespace trefoil {

/// Compares the service times at each instance with the expected work of the same routes. Answers
/// instances of one service whose speeds differ, that are slow after a start or turn slow. The
/// speed of an instance is relative to the mean over all requests, so that work and speed can't
/// drift apart. An instance without recent samples returns to the speed 1.
class instance_speeds {
public:
    /// Records a service time at the instance, as a multiple of the request's expected work.
    void record(time_point now, const instance_id& instance, double ratio);

    /// Speed of the instance; 1 is the mean. Work divided by it is the expected service time.
    double speed(time_point now, const instance_id& instance) const;

    /// Forgets instances without a sample for a minute.
    void evict_unused(time_point now);

private:
    struct slowness {
        double ratio = 1;
        /// Number of samples, halved by each half-life.
        double weight = 0;
        time_point at;
    };

    static double aged_weight(time_point now, const slowness& known);

    std::unordered_map<instance_id, slowness> instances_;
    /// Moving mean of the ratio over the requests at all instances.
    double mean_ratio_ = 1;
};

} // namespace trefoil
