#include <emulator/vm_network.hpp>

#include <algorithm>

namespace cairnhead::emulator
{

namespace
{

void set_cut(std::set<std::uint32_t>& cut, std::uint32_t number, bool is_cut)
{
    if (is_cut)
        cut.insert(number);
    else
        cut.erase(number);
}

} // namespace

vm_network::vm_network(layout const& place)
    : where(place), links_free_at(place.shape().vms)
{
}

void vm_network::set_domain_cut(std::uint32_t domain, bool is_cut)
{
    set_cut(this->cut_domains, domain, is_cut);
}

void vm_network::set_region_cut(std::uint32_t region, bool is_cut)
{
    set_cut(this->cut_regions, region, is_cut);
}

bool vm_network::are_connected(std::uint32_t from, std::uint32_t to) const
{
    if (from == to)
        return true;
    auto const region = this->where.region_of(from);
    auto const other = this->where.region_of(to);
    bool const is_region_cut =
        region != other && (this->cut_regions.contains(region) ||
                            this->cut_regions.contains(other));
    return !is_region_cut && !this->cut_domains.contains(from) &&
           !this->cut_domains.contains(to);
}

bool vm_network::reaches_platform(std::uint32_t domain) const
{
    return !this->cut_domains.contains(domain) &&
           !this->cut_regions.contains(this->where.region_of(domain));
}

time_point vm_network::send(time_point now, std::uint32_t vm, std::size_t bytes)
{
    constexpr std::uint64_t bits_of_byte = 8;
    constexpr std::uint64_t nanoseconds_each = 1'000;
    topology const& shape = this->where.shape();
    bool const is_other = vm < seed_count && shape.seed_link_megabits != 0;
    std::uint32_t const megabits =
        is_other ? shape.seed_link_megabits : shape.link_megabits;
    duration const taken(bytes * bits_of_byte * nanoseconds_each / megabits);
    time_point& free_at = this->links_free_at[vm];
    free_at = std::max(free_at, now) + taken;
    return free_at;
}

} // namespace cairnhead::emulator
