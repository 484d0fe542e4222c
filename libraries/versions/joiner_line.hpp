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

/// Who gets documents from this VM, and whom the others are to ask.
///
/// Load that this answers: all VMs of a fleet, or of a rack, start at once.
/// They know a few addresses, the same for all. If those served everybody, each
/// would carry the whole registry as often as there are VMs, over links and
/// processors of the size that all VMs have; and the last joiner would wait
/// for all before it. So whoever is asked serves a bounded number, and names
/// others: VMs of the joiner's failure domain that have joined, or, where
/// nobody is known there, joiners that asked before. Those in turn pass on what
/// they get, so that a start of all is a tree in each failure domain, in the
/// order in which its VMs came.
/// Thread safety of all methods: none.
class joiner_line
{
public:
    joiner_line(
        version_settings const& settings,
        vm_identity const& self,
        std::uint64_t random_seed);

    /// What this VM knows as a joiner asks.
    struct situation
    {
        /// The VMs that can be reached, without this one.
        std::span<document_peer const> peers;
        bool has_documents = false;
    };

    /// A VM of the domain has documents and can serve others. No precondition.
    void note_holder(time_point now, vm_id holder, failure_domain_id domain);

    /// A joiner asks: whom it is to ask instead, or nothing where it waits in
    /// this VM's line. No precondition.
    [[nodiscard]] std::optional<join_referral>
    ask(time_point now,
        vm_id joiner,
        join_request const& request,
        situation const& known);

    /// Those of the line whose turn has come. Precondition: the documents are
    /// there.
    [[nodiscard]] std::vector<vm_id> take_due(time_point now);

private:
    struct arrival
    {
        vm_id vm;
        time_point asked_at;
    };
    using arrivals = std::vector<arrival>;

    static arrivals&
    note_arrival(time_point now, vm_id vm, arrivals& came, std::size_t most);
    [[nodiscard]] bool has_room_for(vm_id joiner) const;
    void admit(vm_id joiner);
    [[nodiscard]] std::optional<join_referral> refer_to_line(vm_id joiner);
    [[nodiscard]] std::optional<join_referral> refer_to_members(
        vm_id joiner, failure_domain_id domain, situation const& known);
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
    /// Those that wait here.
    std::deque<vm_id> line;
    time_point next_turn_at;
    std::size_t turns = 0;
    std::size_t next_of_line = 0;
    /// In the order in which they came, by failure domain.
    std::map<failure_domain_id, arrivals> recent;
    /// Those that told that they have documents, by failure domain.
    std::map<failure_domain_id, arrivals> holders;
    std::size_t next_holder = 0;
};

} // namespace cairnhead
