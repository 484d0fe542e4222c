#pragma once

#include <base/time.hpp>
#include <protocol/member_update.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace cairnhead
{

/// A VM of another failure domain.
struct domain_contact
{
    vm_id id;
    incarnation life;
    /// When it said something itself; never, if others only told of it.
    std::optional<time_point> heard_at;
    /// Pings without a word since.
    std::uint32_t unanswered = 0;
};

/// Whether a failure domain's VMs say anything.
struct domain_hearing
{
    failure_domain_id domain;
    bool is_silent = false;
    /// When it was heard last.
    time_point heard_at;
};

/// The few VMs of each other failure domain that this VM talks to.
///
/// Where packets carry tags nobody has to know the whole fleet: what is needed
/// of another domain is whether it can be reached, and someone to compare
/// documents with. A bounded number of contacts keeps messages and bytes
/// between failure domains the same in every fleet. One that falls silent gives
/// its place to the next VM of its domain that is heard of.
/// Thread safety of all methods: none.
class domain_contacts
{
public:
    /// Enough to outlive the loss of a few VMs between two looks, and for
    /// joiners of that domain to find each other through this VM.
    static constexpr std::size_t maximum_per_domain = 8;

    /// Someone told of a VM of another domain. No precondition.
    void note_claim(member_update const& claim, std::mt19937_64& random);

    /// It said something itself. No precondition.
    void note_heard(
        time_point now,
        member_update const& own_claim,
        std::mt19937_64& random);

    /// Whom to ping of the domain whose turn it is: any that left the fewest
    /// pings unanswered. Counts as asked. Nothing when no domain is known. No
    /// precondition.
    [[nodiscard]] std::optional<vm_id> take_next(std::mt19937_64& random);

    /// Domains that fell silent for that long, or were heard again, since the
    /// last call. No precondition.
    [[nodiscard]] std::vector<domain_hearing>
    take_changes(time_point now, duration bound);

    /// The contacts of a domain. No precondition. Valid until the next change.
    [[nodiscard]] std::span<domain_contact const>
    of(failure_domain_id domain) const;

    /// The domains of which a VM is known, sorted. No precondition.
    [[nodiscard]] std::vector<failure_domain_id> domains() const;

    /// The domain of a contact, if it is one. No precondition.
    [[nodiscard]] std::optional<failure_domain_id> domain_of(vm_id vm) const;

    /// Changes whenever a contact comes or goes. No precondition.
    [[nodiscard]] std::uint64_t generation() const;

private:
    using contact_list = std::vector<domain_contact>;

    static domain_contact* find_in(contact_list& list, vm_id vm);
    static domain_contact*
    make_room(contact_list& list, std::mt19937_64& random);
    static domain_contact& choose(contact_list& list, std::mt19937_64& random);
    domain_contact*
    find_or_add(member_update const& claim, std::mt19937_64& random);

    /// Ordered, as the same events must give the same effects.
    std::map<failure_domain_id, contact_list> by_domain;
    std::map<failure_domain_id, domain_hearing> hearings;
    failure_domain_id last_asked;
    std::uint64_t changes = 0;
};

} // namespace cairnhead
