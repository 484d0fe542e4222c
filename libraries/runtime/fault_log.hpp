#pragma once

#include <base/time.hpp>
#include <observability/logger.hpp>
#include <observability/packet_counters.hpp>
#include <runtime/datagram_fault.hpp>
#include <settings/settings.hpp>

#include <vector>

namespace cairnhead
{

/// Counts faults of datagrams and logs a few of them: one line of each kind
/// in a second. Without that bound a flood of one kind would use up the log's
/// lines, and operators would miss everything else that happens meanwhile.
/// Thread safety of all methods: none; one thread, the packet thread.
class fault_log
{
public:
    /// Precondition: both outlive the object.
    fault_log(packet_counters& shared_counters, logger& shared_log);

    /// A datagram from this source had a fault. No precondition.
    void
    note(time_point now, datagram_fault const& fault, socket_address source);

private:
    packet_counters& counters;
    logger& log;
    std::vector<time_point> next_line_at;
};

} // namespace cairnhead
