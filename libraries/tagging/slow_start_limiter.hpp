#pragma once

#include <base/identifiers.hpp>
#include <base/time.hpp>
#include <registry/registry.hpp>

#include <cstdint>
#include <deque>
#include <span>
#include <vector>

namespace cairnhead
{

/// Openings that a cold upstream may get in any span of one second.
struct cold_limit
{
    /// From all VMs together.
    std::uint32_t total = 0;
    /// From one VM that may open flows at the upstream.
    std::uint32_t per_vm = 0;
};

/// Returns the limit for an upstream that can serve this many openings per
/// second during slow start. The limit exceeds that rate by the factor
/// `overrun` and the number `slack`. No precondition. Thread-safe, as it shares
/// no state.
[[nodiscard]] cold_limit
make_cold_limit(double openings_per_second, double overrun, double slack);

/// Limits the openings per second that this VM sends to one upstream in slow
/// start, by a sliding window log.
///
/// Load pattern: many callers are sent to an upstream that has just started and
/// is slow at first. Each opening is logged, because fixed windows would let
/// twice the limit pass around the boundary of two windows.
/// No method has a precondition; none is thread-safe.
class slow_start_limiter
{
public:
    /// Whether one more opening now is within the limit.
    [[nodiscard]] bool may_open(time_point now, std::uint32_t limit) const;

    /// Logs an opening.
    void record_opening(time_point now);

private:
    std::deque<time_point> opened_at;
};

/// Decides which VM of a failure domain opens flows at each of its cold
/// upstreams: the VM that ranks first for the upstream by rendezvous hashing.
/// The other VMs open none there, so that the limit holds across all VMs
/// without messages between them. While VMs have two different views of the
/// members, two VMs may consider themselves first. Each VM therefore gets half
/// of the limit. No method has a precondition; none is thread-safe.
class appointed_opener
{
public:
    /// Sets the live VMs of the failure domain, this one included. The list is
    /// empty while this VM does not know them; it then opens no flows at cold
    /// upstreams.
    void set_vms(vm_id self, std::span<vm_id const> vms);

    /// Whether this VM ranks first for the upstream.
    [[nodiscard]] bool is_appointed(instance_number upstream) const;

private:
    vm_id self;
    std::vector<vm_id> vms;
};

} // namespace cairnhead
