#pragma once

#include <event/effect.hpp>
#include <placement/reported_state.hpp>

#include <functional>
#include <span>
#include <vector>

namespace cairnhead
{

/// Forwards changed reports to a few randomly chosen VMs. Each VM forwards each
/// change once, so that a change reaches all VMs with a bounded number of
/// bytes.
/// No method has a precondition; none is thread-safe.
class report_spreader
{
public:
    /// Returns the current report of an upstream. Called at sending time, so
    /// that the age in the report is right.
    using report_source =
        std::function<std::optional<upstream_report>(upstream_id)>;

    report_spreader(vm_id self, std::uint64_t random_seed);

    /// Queues the report of an upstream unless nothing changed.
    void add(upstream_id upstream, report_change change);

    /// Sends one listing of the queued reports, changed conditions first,
    /// within the limit of bytes for each tick. Keeps the queue when there are
    /// no peers.
    void flush(
        std::span<vm_id const> peers,
        report_source const& source,
        effect_list& effects);

private:
    [[nodiscard]] std::vector<vm_id> pick_targets(std::span<vm_id const> peers);
    void dequeue_reports(
        std::vector<upstream_id>& queue,
        report_source const& source,
        std::vector<upstream_report>& reports);

    vm_id self;
    std::uint64_t random_seed;
    std::uint64_t pick_count = 0;
    std::vector<upstream_id> condition_queue;
    std::vector<upstream_id> load_queue;
};

} // namespace cairnhead
