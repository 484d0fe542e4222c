#pragma once

#include <event/settings.hpp>
#include <placement/upstream_state.hpp>

#include <span>

namespace cairnhead
{

/// Whether this VM is one of the `probers` VMs of its failure domain that probe
/// the upstream. All VMs of the domain agree without exchanging messages while
/// they see the same members; while they see different ones, an upstream gets a
/// probe too many or too few.
/// No precondition. Thread safety: any number of concurrent callers.
[[nodiscard]] bool is_prober(
    vm_id self,
    upstream_id upstream,
    std::span<vm_id const> domain_vms,
    std::uint32_t probers);

/// Returns whether a probe is due now, and if so moves the deadline to the next
/// one. The deadlines of different upstreams and VMs are spread over the
/// period; otherwise all probes would be sent at the same moment.
/// Precondition: `period` is above zero. Thread safety: none for the same
/// state.
[[nodiscard]] bool consume_due_probe(
    time_point now, vm_id self, duration period, upstream_state& state);

} // namespace cairnhead
