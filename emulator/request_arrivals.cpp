#include <emulator/request_arrivals.hpp>

#include <numeric>
#include <utility>

namespace cairnhead::emulator
{

request_arrivals::request_arrivals(
    agenda& schedule,
    request_load const& chosen,
    std::uint64_t seed,
    arrive tell)
    : time(schedule), load(chosen), listener(std::move(tell)),
      factors(chosen.routes.size(), 1)
{
    for (std::size_t route = 0; route < this->load.routes.size(); ++route)
    {
        for (std::uint32_t domain = 0;
             domain < this->load.domain_weights.size(); ++domain)
        {
            std::seed_seq seeds{
                seed, std::uint64_t{route}, std::uint64_t{domain}};
            this->streams.push_back({route, domain, std::mt19937_64(seeds)});
        }
    }
}

void request_arrivals::begin()
{
    for (stream& each : this->streams)
        this->schedule_next(each);
}

void request_arrivals::end()
{
    this->has_ended = true;
}

void request_arrivals::set_factor(std::size_t route, double factor)
{
    this->factors[route] = factor;
}

void request_arrivals::schedule_next(stream& of)
{
    auto const& weights = this->load.domain_weights;
    double const sum = std::accumulate(weights.begin(), weights.end(), 0.);
    double const per_second = this->load.routes[of.route].requests_per_second *
                              this->factors[of.route] * weights[of.domain] /
                              sum;
    std::exponential_distribution<double> gap(per_second);
    this->time.add(
        this->time.now() + std::chrono::duration_cast<duration>(
                               std::chrono::duration<double>(gap(of.random))),
        [this, &of]
        {
            this->tell(of);
        });
}

void request_arrivals::tell(stream& of)
{
    if (this->has_ended)
        return;
    std::uniform_real_distribution<double> share(0.5, 1.5);
    duration const work = std::chrono::duration_cast<duration>(
        this->load.routes[of.route].work * share(of.random));
    this->listener(of.route, of.domain, work);
    this->schedule_next(of);
}

} // namespace cairnhead::emulator
