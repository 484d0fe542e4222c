#pragma once

#include <base/identifiers.hpp>
#include <registry/registry.hpp>

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace cairnhead
{

/// Appoints VMs of the failure domain by rendezvous hashing. VMs that see the
/// same members agree without a message.
/// No method has a precondition; none is thread-safe.
class domain_ranking
{
public:
    explicit domain_ranking(failure_domain_id domain);

    /// Sets the live VMs of the failure domain.
    void set_vms(std::span<vm_id const> vms);

    /// The VM that collects the observations of an upstream of the domain: the
    /// same that opens flows at the upstream while it is cold. Nothing while no
    /// VM is known.
    [[nodiscard]] std::optional<vm_id>
    collector_of(instance_number upstream) const;

    /// The VMs that disseminate ratings: two, and up to eight in large domains.
    /// Each has a tree of its own, and collectors take turns between them. So
    /// while one of them, or a VM in its tree, has stopped, ratings arrive by
    /// the others, and none receives a message of each collector at once.
    [[nodiscard]] std::span<vm_id const> disseminators() const;

    [[nodiscard]] std::span<vm_id const> vms() const;

private:
    failure_domain_id own_domain;
    std::vector<vm_id> live;
    std::vector<vm_id> disseminating;
};

} // namespace cairnhead
