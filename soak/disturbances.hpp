#pragma once

#include <base/time.hpp>

#include <algorithm>
#include <vector>

namespace cairnhead::soak
{

/// Which parties a fault touched, and until when. A promise with a bound holds
/// for those that were left alone for a while.
/// Thread safety of all methods: none.
class disturbances
{
public:
    explicit disturbances(std::size_t vms) : vm_until(vms), peers_until(vms)
    {
    }

    /// The VM is disturbed from now until then. Precondition: it exists.
    void note_vm(std::size_t vm, time_point until)
    {
        this->vm_until[vm] = std::max(this->vm_until[vm], until);
    }

    /// The VM's peers are out of its reach until then. It may know what was
    /// published late; flows are none the worse for it. Precondition: the VM
    /// exists.
    void note_peers(std::size_t vm, time_point until)
    {
        this->peers_until[vm] = std::max(this->peers_until[vm], until);
    }

    /// The store, or the way of all packets, is disturbed until then. No
    /// precondition.
    void note_store(time_point until)
    {
        this->store_until = std::max(this->store_until, until);
    }

    void note_packets(time_point until)
    {
        this->packets_until = std::max(this->packets_until, until);
    }

    /// Whether neither the VM nor the packets' way was disturbed within the
    /// contact time before `since`. Precondition: the VM exists.
    [[nodiscard]] bool is_vm_calm(std::size_t vm, time_point since) const
    {
        return is_calm(this->vm_until[vm], since) &&
               is_calm(this->packets_until, since);
    }

    /// Whether the VM is bound to know what was published: it is calm, and its
    /// peers and the store were in its reach. Precondition: the VM exists.
    [[nodiscard]] bool is_vm_informed(std::size_t vm, time_point since) const
    {
        return this->is_vm_calm(vm, since) && this->is_store_calm(since) &&
               is_calm(this->peers_until[vm], since);
    }

    [[nodiscard]] bool is_store_calm(time_point since) const
    {
        return is_calm(this->store_until, since);
    }

    [[nodiscard]] bool are_all_calm(time_point since) const
    {
        return is_calm(this->packets_until, since) &&
               std::ranges::all_of(
                   this->vm_until,
                   [since](time_point until)
                   {
                       return is_calm(until, since);
                   });
    }

    /// What a disturbance led to may show for so long after its end. The
    /// users' bound on the same.
    static constexpr duration contact_time = std::chrono::seconds(4);

private:
    static bool is_calm(time_point until, time_point since)
    {
        return until == time_point() || since > until + contact_time;
    }

    std::vector<time_point> vm_until;
    std::vector<time_point> peers_until;
    time_point store_until;
    time_point packets_until;
};

} // namespace cairnhead::soak
