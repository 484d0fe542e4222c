#pragma once

#include <event/effect.hpp>
#include <placement/reported_state.hpp>

#include <functional>
#include <span>
#include <vector>

namespace cairnhead
{

/// Passes fresh reports on to a few other VMs: each VM once for each piece of
/// news, so that news reaches all with a bounded number of bytes.
/// Thread safety of all methods: none.
class report_spreader
{
public:
    /// Gives the report as it is at sending time, so that its age is true.
    using report_source =
        std::function<std::optional<upstream_report>(upstream_id)>;

    /// No precondition.
    report_spreader(vm_id self, std::uint64_t random_seed);

    /// Queues an upstream's report. No precondition.
    void add(upstream_id upstream, report_news news);

    /// Sends one listing of what waits, changed conditions first, within the
    /// bound of bytes for each tick. No precondition; keeps the news for
    /// later when there are no peers.
    void flush(
        std::span<vm_id const> peers,
        report_source const& source,
        effect_list& effects);

private:
    [[nodiscard]] std::vector<vm_id> pick(std::span<vm_id const> peers);
    void take(
        std::vector<upstream_id>& queue,
        report_source const& source,
        std::vector<upstream_report>& reports);

    vm_id self;
    std::uint64_t random_seed;
    std::uint64_t picks = 0;
    std::vector<upstream_id> conditions;
    std::vector<upstream_id> loads;
};

} // namespace cairnhead
