#include <observability/flow_sampler.hpp>

namespace cairnhead
{

namespace
{

constexpr duration sampling_period = std::chrono::seconds(1);

/// One flow of a million: more cannot be of use.
constexpr unsigned maximum_zero_bits = 20;

} // namespace

flow_sampler::flow_sampler(std::uint32_t flows_per_second)
    : wanted(flows_per_second)
{
}

bool flow_sampler::note_opened(time_point now, flow_id flow)
{
    this->begin_second(now);
    ++this->opened_in_second;
    // A burst within the second is met at once, not with the next second.
    bool const is_too_much = this->opened_in_second >
                             (std::uint64_t{this->wanted} << this->zero_bits);
    if (is_too_much && this->zero_bits < maximum_zero_bits)
        ++this->zero_bits;
    return this->keeps(flow);
}

void flow_sampler::begin_second(time_point now)
{
    if (now < this->second_ends_at)
        return;
    // Fewer by half and more than that: one step back each second.
    std::uint64_t const half =
        (std::uint64_t{this->wanted} << this->zero_bits) / 2;
    if (this->opened_in_second<half&& this->zero_bits> 0)
        --this->zero_bits;
    this->opened_in_second = 0;
    this->second_ends_at = now + sampling_period;
}

bool flow_sampler::keeps(flow_id flow) const
{
    std::uint64_t const mask = (std::uint64_t{1} << this->zero_bits) - 1;
    return this->wanted > 0 && (flow.value() & mask) == 0;
}

std::uint64_t flow_sampler::kept_one_in() const
{
    return std::uint64_t{1} << this->zero_bits;
}

} // namespace cairnhead
