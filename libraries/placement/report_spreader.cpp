#include <placement/report_spreader.hpp>

#include <base/hash.hpp>

#include <algorithm>

namespace cairnhead
{

namespace
{

/// Number of VMs that this VM forwards a change to.
constexpr std::size_t gossip_fanout = 2;
/// Maximum number of reports in one listing. Each tick sends at most one
/// listing to each of two peers: with many upstreams loads are older when they
/// arrive, but control traffic stays within its limit.
constexpr std::size_t maximum_reports = 8;

} // namespace

report_spreader::report_spreader(vm_id own_id, std::uint64_t seed)
    : self(own_id), random_seed(seed)
{
}

void report_spreader::add(upstream_id upstream, report_change change)
{
    if (change == report_change::none)
    {
        return;
    }
    auto& queue = change == report_change::condition ? this->condition_queue
                                                     : this->load_queue;
    if (std::ranges::find(queue, upstream) == queue.end())
    {
        queue.push_back(upstream);
    }
}

void report_spreader::flush(
    std::span<vm_id const> peers,
    report_source const& source,
    effect_list& effects)
{
    if (this->condition_queue.empty() && this->load_queue.empty())
    {
        return;
    }
    auto const targets = this->pick_targets(peers);
    if (targets.empty())
    {
        return;
    }
    std::vector<upstream_report> reports;
    this->dequeue_reports(this->condition_queue, source, reports);
    this->dequeue_reports(this->load_queue, source, reports);
    if (reports.empty())
    {
        return;
    }
    for (auto const target : targets)
    {
        effects.emplace_back(send_control{
            .target = target, .body = upstream_report_listing{reports}});
    }
}

std::vector<vm_id> report_spreader::pick_targets(std::span<vm_id const> peers)
{
    std::vector<vm_id> others;
    others.reserve(peers.size());
    for (auto const peer : peers)
    {
        if (peer != this->self)
        {
            others.push_back(peer);
        }
    }
    auto const count = std::min(gossip_fanout, others.size());
    for (std::size_t index = 0; index < count; ++index)
    {
        this->pick_count += 1;
        auto const random = hash_pair(this->random_seed, this->pick_count);
        auto const other = index + random % (others.size() - index);
        std::swap(others[index], others[other]);
    }
    others.resize(count);
    return others;
}

void report_spreader::dequeue_reports(
    std::vector<upstream_id>& queue,
    report_source const& source,
    std::vector<upstream_report>& reports)
{
    auto const count = std::min(queue.size(), maximum_reports - reports.size());
    auto const end = queue.begin() + static_cast<std::ptrdiff_t>(count);
    for (auto const upstream : std::span(queue.begin(), end))
    {
        auto const found = source(upstream);
        if (!found)
        {
            continue;
        }
        reports.push_back(*found);
    }
    queue.erase(queue.begin(), end);
}

} // namespace cairnhead
