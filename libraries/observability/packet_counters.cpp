#include <observability/packet_counters.hpp>

#include <algorithm>

namespace cairnhead
{

namespace
{

template <typename Enumeration>
constexpr std::size_t index_of(Enumeration value)
{
    return static_cast<std::size_t>(value);
}

std::size_t bucket_of(double seconds)
{
    // A value on a bound belongs to the bucket below it.
    auto const bound = std::ranges::lower_bound(handshake_bounds, seconds);
    return static_cast<std::size_t>(bound - handshake_bounds.begin());
}

} // namespace

packet_counters::packet_counters(std::size_t fault_kinds) : faults(fault_kinds)
{
}

void packet_counters::count_sent_to_upstream()
{
    ++this->sent_to_upstream;
}

void packet_counters::count_sent_to_peer(frame_role role)
{
    ++this->sent_to_peer[index_of(role)];
}

void packet_counters::count_drop(drop_reason reason)
{
    ++this->drops[index_of(reason)];
}

void packet_counters::count_fault(std::size_t fault)
{
    ++this->faults[fault];
}

void packet_counters::count_refusal(
    organisation_id organisation, refusal_reason reason)
{
    ++this->organisations[organisation].refusals[index_of(reason)];
}

void packet_counters::count_control_sent(std::size_t bytes)
{
    this->control_sent += bytes;
}

void packet_counters::count_control_received(std::size_t bytes)
{
    this->control_received += bytes;
}

void packet_counters::observe(observe_handshake const& seen)
{
    auto const latency = std::max(seen.latency, duration::zero());
    auto const seconds = std::chrono::duration<double>(latency).count();
    auto& counts = this->organisations[seen.organisation]
                       .handshakes[index_of(seen.traffic)];
    ++counts.buckets[bucket_of(seconds)];
    counts.sum_seconds += seconds;
}

} // namespace cairnhead
