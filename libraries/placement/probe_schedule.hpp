#pragma once

#include <event/settings.hpp>
#include <placement/upstream_state.hpp>

#include <span>

namespace cairnhead
{

/// Whether this VM is one of the few of its failure domain that probe the
/// upstream. All VMs of the domain agree without a word while they see the
/// same members; a disagreement costs a probe too many or too few for as long
/// as it lasts. No precondition. Thread safety: any number of callers.
[[nodiscard]] bool is_prober(
    vm_id self,
    upstream_id upstream,
    std::span<vm_id const> domain_vms,
    std::uint32_t probers);

/// Whether a probe is due now; moves the deadline when it is. The deadlines
/// of different upstreams and VMs are spread over the period, else all probes
/// would leave at the same moment. Precondition: `period` is above zero.
/// Thread safety: none for the same state.
[[nodiscard]] bool take_due_probe(
    time_point now, vm_id self, duration period, upstream_state& state);

} // namespace cairnhead
