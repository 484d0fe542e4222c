#include <emulator/vm_rotation.hpp>

#include <base/hash.hpp>

#include <algorithm>

namespace cairnhead::emulator
{

namespace
{

using std::chrono_literals::operator""ms;

constexpr duration question_period = 500ms;
constexpr std::uint32_t tolerated_misses = 1;

} // namespace

vm_rotation::vm_rotation(emulated_fleet& around, flow_spread chosen)
    : fleet(around), spread(chosen), misses(around.place().shape().vms),
      in_use(around.place().shape().failure_domains)
{
    this->ask();
}

void vm_rotation::ask()
{
    for (std::uint32_t vm = 0; vm < this->misses.size(); ++vm)
        this->misses[vm] = this->fleet.is_ready(vm) ? 0 : this->misses[vm] + 1;
    this->use_ready_ones();
    this->fleet.schedule().add(
        this->fleet.now() + question_period,
        [this]
        {
            this->ask();
        });
}

void vm_rotation::use_ready_ones()
{
    std::vector<std::vector<std::uint32_t>> all(this->in_use.size());
    for (auto& of_domain : this->in_use)
        of_domain.clear();
    for (std::uint32_t vm = 0; vm < this->misses.size(); ++vm)
    {
        auto const domain = this->fleet.place().domain_of(vm);
        all[domain].push_back(vm);
        if (this->misses[vm] <= tolerated_misses)
            this->in_use[domain].push_back(vm);
    }
    // Rather VMs that may be late than a few that take what all did.
    for (std::size_t domain = 0; domain < all.size(); ++domain)
    {
        auto& used = this->in_use[domain];
        if (!used.empty() && used.size() * 2 < all[domain].size())
            used = all[domain];
    }
}

std::optional<std::uint32_t> vm_rotation::choose(
    std::uint32_t domain, std::uint64_t flow, std::uint64_t draw) const
{
    std::vector<std::uint32_t> const* used = &this->in_use[domain];
    for (std::uint32_t other = 0; used->empty() && other < this->in_use.size();
         ++other)
    {
        if (this->fleet.are_connected(domain, other))
            used = &this->in_use[other];
    }
    if (used->empty())
        return std::nullopt;
    switch (this->spread)
    {
    case flow_spread::steady:
        return *std::ranges::max_element(
            *used, {},
            [flow](std::uint32_t vm)
            {
                return hash_pair(flow, vm);
            });
    case flow_spread::modulo:
        return (*used)[flow % used->size()];
    case flow_spread::each_packet:
        break;
    }
    return (*used)[draw % used->size()];
}

} // namespace cairnhead::emulator
