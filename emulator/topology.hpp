#pragma once

#include <base/identifiers.hpp>
#include <base/time.hpp>
#include <event/settings.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cairnhead::emulator
{

/// The first VMs are the seeds, as far as there are so many.
inline constexpr std::uint32_t seed_count = 3;

/// One service, behind an address of its own.
struct service_shape
{
    /// Its number in `topology::pool_sizes`.
    std::uint32_t pool = 0;
    bool is_idempotent = false;
    duration target_latency{};
    /// Zero is the most urgent.
    std::uint32_t priority = 0;
};

/// How a fleet is laid out. VMs, upstreams and failure domains are shared out
/// evenly.
struct topology
{
    std::uint32_t vms = 30;
    std::uint32_t upstreams = 150;
    /// Addresses of services, each with a pool of its own.
    std::uint32_t addresses = 35;
    std::uint32_t failure_domains = 7;
    std::uint32_t regions = 3;
    /// One way.
    duration delay_within_domain = std::chrono::microseconds(200);
    duration delay_between_domains = std::chrono::microseconds(500);
    duration delay_between_regions = std::chrono::milliseconds(8);
    /// Of the link of each VM.
    std::uint32_t link_megabits = 100;
    /// Of the links of the seeds; zero if they are as all others.
    std::uint32_t seed_link_megabits = 0;
    /// Of what the platform's store gives at once.
    std::uint32_t items_per_page = 500;
    /// Of the datagrams between VMs.
    std::uint32_t lost_permille = 0;
    /// Services and pools of unequal sizes, in place of `addresses` equal ones.
    std::vector<service_shape> services{};
    /// The sum is the number of upstreams.
    std::vector<std::uint32_t> pool_sizes{};
    placement_rule placement = placement_rule::flows;
};

/// Where the nth VM, upstream or domain of a topology stands.
class layout
{
public:
    explicit layout(topology const& chosen);

    /// The nth VM, from zero. Precondition: the topology has so many.
    [[nodiscard]] vm_id vm(std::uint32_t number) const;

    /// The number of a VM. Precondition: it is one of the topology's.
    [[nodiscard]] std::uint32_t number_of(vm_id vm) const;

    /// Whether the VM is one of the topology's. No precondition.
    [[nodiscard]] bool has(vm_id vm) const;

    /// The failure domain of the nth VM or upstream. No precondition.
    [[nodiscard]] std::uint32_t domain_of(std::uint32_t number) const;

    /// The region of the nth failure domain. No precondition.
    [[nodiscard]] std::uint32_t region_of(std::uint32_t domain) const;

    /// The name of the nth failure domain. No precondition.
    [[nodiscard]] static std::string domain_name(std::uint32_t domain);

    /// How long a packet takes from the one VM to the other, both by number.
    /// No precondition.
    [[nodiscard]] duration
    delay(std::uint32_t sender, std::uint32_t receiver) const;

    [[nodiscard]] topology const& shape() const;

private:
    topology held;
};

} // namespace cairnhead::emulator
