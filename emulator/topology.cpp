#include <emulator/topology.hpp>

namespace cairnhead::emulator
{

namespace
{

/// 10.0.0.1 and on.
constexpr std::uint32_t first_vm = 0x0a000001;

} // namespace

layout::layout(topology const& chosen) : held(chosen)
{
}

vm_id layout::vm(std::uint32_t number) const
{
    return vm_id(first_vm + number);
}

std::uint32_t layout::number_of(vm_id vm) const
{
    return vm.value() - first_vm;
}

bool layout::has(vm_id vm) const
{
    return vm.value() - first_vm < this->held.vms;
}

std::uint32_t layout::domain_of(std::uint32_t number) const
{
    return number % this->held.failure_domains;
}

std::uint32_t layout::region_of(std::uint32_t domain) const
{
    return domain % this->held.regions;
}

std::string layout::domain_name(std::uint32_t domain)
{
    return "domain-" + std::to_string(domain);
}

duration layout::delay(std::uint32_t sender, std::uint32_t receiver) const
{
    auto const from = this->domain_of(sender);
    auto const to = this->domain_of(receiver);
    if (from == to)
        return this->held.delay_within_domain;
    return this->region_of(from) == this->region_of(to)
               ? this->held.delay_between_domains
               : this->held.delay_between_regions;
}

topology const& layout::shape() const
{
    return this->held;
}

} // namespace cairnhead::emulator
