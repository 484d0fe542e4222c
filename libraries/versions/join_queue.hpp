#pragma once

#include <base/time.hpp>
#include <event/settings.hpp>
#include <protocol/control_message.hpp>
#include <versions/backoff.hpp>
#include <versions/document_peer.hpp>

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace cairnhead
{

/// Decides which joiners receive documents from this VM, and which other VMs
/// the rest are referred to.
///
/// Load pattern: all VMs of a fleet, or of a rack, start at once. They know a
/// few addresses, the same for all. If the VMs at those addresses served every
/// joiner, each would send the whole registry as often as there are VMs, over
/// links and processors of the size that all VMs have; and the last joiner
/// would wait for all before it. So a VM that is asked serves a bounded number
/// of joiners and refers the rest to others: to VMs of the joiner's failure
/// domain that have joined, or, if it knows none there, to joiners that asked
/// before. Those in turn pass on the documents that they receive. So a start of
/// all VMs forms a tree in each failure domain, in the order in which its VMs
/// asked.
///
/// No method has a precondition unless its comment states one; none is
/// thread-safe.
class join_queue
{
public:
    join_queue(
        version_settings const& settings,
        vm_identity const& self,
        std::uint64_t random_seed);

    /// The state of this VM when a joiner asks.
    struct local_state
    {
        /// The reachable VMs, without this one.
        std::span<document_peer const> peers;
        bool has_documents = false;
    };

    /// Records that a VM of the domain has documents and can serve others.
    void record_holder(time_point now, vm_id holder, failure_domain_id domain);

    /// Handles the request of a joiner. Returns which VMs the joiner is to ask
    /// instead, or nothing if this VM has queued it.
    [[nodiscard]] std::optional<join_referral>
    ask(time_point now,
        vm_id joiner,
        join_request const& request,
        local_state const& local);

    /// Removes the joiners that are to be served now from the queue and returns
    /// them. Precondition: this VM has the documents.
    [[nodiscard]] std::vector<vm_id> take_due(time_point now);

private:
    struct arrival
    {
        vm_id vm;
        time_point asked_at;
    };
    using arrivals = std::vector<arrival>;

    static arrivals& record_arrival(
        time_point now, vm_id vm, arrivals& recorded, std::size_t limit);
    [[nodiscard]] bool has_room_for(vm_id joiner) const;
    void enqueue(vm_id joiner);
    [[nodiscard]] std::optional<join_referral> refer_to_queued(vm_id joiner);
    [[nodiscard]] std::optional<join_referral> refer_to_members(
        vm_id joiner, failure_domain_id domain, local_state const& local);
    [[nodiscard]] std::optional<join_referral>
    refer_to_holders(time_point now, vm_id joiner, failure_domain_id domain);
    [[nodiscard]] std::optional<join_referral> refer_by_arrival(
        vm_id joiner,
        join_request const& request,
        arrivals const& domain_arrivals,
        bool has_documents);
    [[nodiscard]] std::vector<vm_id> sample(std::vector<vm_id> candidates);

    std::size_t fanout;
    vm_identity self;
    version_random random;
    /// The joiners that wait for documents from this VM.
    std::deque<vm_id> queue;
    time_point next_period_at;
    /// How many joiners this VM still serves in the current period.
    std::size_t remaining_turns = 0;
    std::size_t next_queued = 0;
    /// Joiners that asked, in the order of their requests, by failure domain.
    std::map<failure_domain_id, arrivals> recent_joiners;
    /// VMs that announced that they have documents, by failure domain.
    std::map<failure_domain_id, arrivals> holders;
    std::size_t next_holder = 0;
};

} // namespace cairnhead
