#include <rating/domain_ranking.hpp>

#include <base/hash.hpp>

#include <algorithm>

namespace cairnhead
{

namespace
{

constexpr std::size_t fewest_disseminators = 2;
constexpr std::size_t most_disseminators = 8;

/// With one message a second each, so many collectors cost a disseminator
/// 3 KB/s.
constexpr std::size_t collectors_per_disseminator = 40;

} // namespace

domain_ranking::domain_ranking(failure_domain_id domain) : own_domain(domain)
{
}

void domain_ranking::set_vms(std::span<vm_id const> vms)
{
    this->live.assign(vms.begin(), vms.end());
    this->disseminating = this->live;
    std::ranges::sort(
        this->disseminating, std::ranges::greater(),
        [this](vm_id vm)
        {
            return hash_pair(this->own_domain.value(), vm.value());
        });
    std::size_t const count = std::clamp(
        this->live.size() / collectors_per_disseminator, fewest_disseminators,
        most_disseminators);
    if (this->disseminating.size() > count)
        this->disseminating.resize(count);
}

std::optional<vm_id>
domain_ranking::collector_of(instance_number upstream) const
{
    if (this->live.empty())
        return std::nullopt;
    return *std::ranges::max_element(
        this->live, {},
        [upstream](vm_id vm)
        {
            return hash_pair(upstream.value(), vm.value());
        });
}

std::span<vm_id const> domain_ranking::disseminators() const
{
    return this->disseminating;
}

std::span<vm_id const> domain_ranking::vms() const
{
    return this->live;
}

} // namespace cairnhead
