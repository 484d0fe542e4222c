#include <placement/probe_schedule.hpp>

#include <base/hash.hpp>

namespace cairnhead
{

namespace
{

duration find_phase(vm_id self, upstream_id upstream, duration period)
{
    auto const hash = hash_pair(self.value(), upstream.value());
    auto const length = static_cast<std::uint64_t>(period.count());
    return duration(static_cast<duration::rep>(hash % length));
}

} // namespace

bool is_prober(
    vm_id self,
    upstream_id upstream,
    std::span<vm_id const> domain_vms,
    std::uint32_t probers)
{
    auto const own_rank = hash_pair(self.value(), upstream.value());
    std::uint32_t higher_ranked = 0;
    for (auto const vm : domain_vms)
    {
        if (vm == self)
        {
            continue;
        }
        higher_ranked +=
            hash_pair(vm.value(), upstream.value()) < own_rank ? 1 : 0;
    }
    return higher_ranked < probers;
}

bool consume_due_probe(
    time_point now, vm_id self, duration period, upstream_state& state)
{
    if (!state.next_probe_at)
    {
        state.next_probe_at = now + find_phase(self, state.id, period);
    }
    if (now < *state.next_probe_at)
    {
        return false;
    }
    auto const next = *state.next_probe_at + period;
    // After a process pause, one probe replaces all that were missed.
    state.next_probe_at = next > now ? next : now + period;
    return true;
}

} // namespace cairnhead
