#include <placement/report_spreader.hpp>

#include <base/hash.hpp>

#include <algorithm>

namespace cairnhead
{

namespace
{

/// How many other VMs hear of a piece of news from this one.
constexpr std::size_t spread_fanout = 2;
/// Reports in one listing. One goes to each of two peers each tick at most:
/// with many upstreams loads get older before they arrive, but control traffic
/// stays within its bound.
constexpr std::size_t maximum_reports = 8;

} // namespace

report_spreader::report_spreader(vm_id own_id, std::uint64_t seed)
    : self(own_id), random_seed(seed)
{
}

void report_spreader::add(upstream_id upstream, report_news news)
{
    if (news == report_news::none)
    {
        return;
    }
    auto& queue =
        news == report_news::condition ? this->conditions : this->loads;
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
    if (this->conditions.empty() && this->loads.empty())
    {
        return;
    }
    auto const targets = this->pick(peers);
    if (targets.empty())
    {
        return;
    }
    std::vector<upstream_report> reports;
    this->take(this->conditions, source, reports);
    this->take(this->loads, source, reports);
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

std::vector<vm_id> report_spreader::pick(std::span<vm_id const> peers)
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
    auto const count = std::min(spread_fanout, others.size());
    for (std::size_t index = 0; index < count; ++index)
    {
        this->picks += 1;
        auto const random = hash_pair(this->random_seed, this->picks);
        auto const other = index + random % (others.size() - index);
        std::swap(others[index], others[other]);
    }
    others.resize(count);
    return others;
}

void report_spreader::take(
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
