#pragma once

#include <emulator/agenda.hpp>
#include <emulator/request_load.hpp>

#include <functional>
#include <random>
#include <vector>

namespace cairnhead::emulator
{

/// Requests that callers want, at random moments. The same load, seed and
/// changes of the rate give the same requests, whatever becomes of them, so
/// that placements can be compared by the same trace.
/// Thread safety of all methods: none.
class request_arrivals
{
public:
    using arrive = std::function<void(
        std::size_t route, std::uint32_t domain, duration work)>;

    /// Precondition: the schedule and the load outlive the object, and the load
    /// has a weight for each failure domain.
    request_arrivals(
        agenda& schedule,
        request_load const& chosen,
        std::uint64_t seed,
        arrive tell);

    /// Precondition: called once.
    void begin();

    /// No further requests. No precondition.
    void end();

    /// Multiplies the usual rate of a route from now on. Precondition: the
    /// factor is positive, and the load has the route.
    void set_factor(std::size_t route, double factor);

private:
    struct stream
    {
        std::size_t route = 0;
        std::uint32_t domain = 0;
        std::mt19937_64 random;
    };

    void schedule_next(stream& of);
    void tell(stream& of);

    agenda& time;
    request_load const& load;
    arrive listener;
    std::vector<stream> streams;
    std::vector<double> factors;
    bool has_ended = false;
};

} // namespace cairnhead::emulator
