// Deterministic pseudo-random number generator.
#pragma once

#include <cstdint>
#include <limits>

namespace trefoil {

/// SplitMix64 (Steele, Lea, Flood 2014). Fast, with 8 bytes of state. The sequence depends on the
/// seed alone; not suitable for secrets.
class random_source {
public:
    using result_type = std::uint64_t;

    explicit random_source(std::uint64_t seed) : state_(seed) {}

    static constexpr result_type min() { return 0; }
    static constexpr result_type max() { return std::numeric_limits<result_type>::max(); }

    result_type operator()() {
        state_ += 0x9E3779B97F4A7C15ULL;
        std::uint64_t mixed = state_;
        mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
        mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
        return mixed ^ (mixed >> 31U);
    }

    /// Returns an integer in [0, bound); 0 for a bound of 0.
    std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : (*this)() % bound; }

    /// Returns a number in [0, 1).
    double unit() { return static_cast<double>((*this)() >> 11U) * 0x1.0p-53; }

private:
    std::uint64_t state_;
};

} // namespace trefoil
