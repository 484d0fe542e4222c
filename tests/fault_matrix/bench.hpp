#pragma once

#include <support/fleet.hpp>
#include <support/invariant_checker.hpp>

#include <map>
#include <random>
#include <set>
#include <string>

namespace cairnhead::test
{

/// What the network, the upstreams and the platform do wrong.
struct misbehaviour
{
    /// Of the callers' packets between VMs, per thousand.
    std::uint32_t lost_permille = 0;
    /// Of the packets from the fabric, per thousand.
    std::uint32_t duplicated_permille = 0;
    /// Of the packets that a VM sends, per thousand: they leave at its next
    /// event, behind others.
    std::uint32_t delayed_permille = 0;
    /// What upstreams' health endpoints say in place of the truth.
    std::map<upstream_id, upstream_report> reports;
    /// VMs that the platform's list does not have yet.
    std::set<vm_id> unlisted;
    /// VMs that cannot fetch documents, from anybody.
    std::set<vm_id> without_documents;
    /// VMs that cannot reach the platform.
    std::set<vm_id> without_platform;
};

/// A small fleet with flows, whose every event is checked and may be bent.
class bench
{
public:
    bench();

    /// Starts all VMs and lets time pass until they serve.
    void start();
    void open_flows();
    void run_for(duration length);
    /// Lets time pass while all flows send again and again.
    void talk(duration length);
    void publish(sample_declarations const& changed);

    [[nodiscard]] static vm_id vm(std::size_t number);
    [[nodiscard]] static failure_domain_id domain(std::size_t position);
    /// VMs that are added bear numbers from this on.
    static constexpr std::size_t first_added_vm = 20;
    static constexpr std::size_t vm_count = 5;
    static constexpr std::size_t flow_count = 40;

    sample_declarations declared;
    misbehaviour wrong;
    invariant_checker checks;
    fleet vms;

private:
    void apply(
        vm_id vm,
        reducer& decides,
        event const& happened,
        effect_list& effects);
    void bend(vm_id vm, event& happened) const;
    void bend(vm_id vm, effect_list& effects);
    [[nodiscard]] bool happens(std::uint32_t permille);
    [[nodiscard]] fleet_settings make_settings();

    std::mt19937_64 random{7};
    std::map<vm_id, effect_list> delayed;
};

} // namespace cairnhead::test
