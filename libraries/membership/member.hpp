#pragma once

#include <base/time.hpp>
#include <protocol/member_update.hpp>

/// What one VM holds of another, and which claims override it.
namespace cairnhead
{

/// What this VM knows of one VM (itself included).
struct member
{
    vm_id id;
    failure_domain_id domain;
    incarnation life;
    member_status status = member_status::alive;
    /// For a suspect: when it becomes dead. For a leaving one: when it is
    /// taken to be gone, or zero while it answers. For a dead one: when it
    /// is forgotten.
    time_point status_deadline;
};

/// Whether a VM of this status is probed and listed as part of the fleet.
/// No precondition. Thread safe.
[[nodiscard]] constexpr bool is_live_status(member_status status)
{
    return status != member_status::dead;
}

/// Whether a VM of this status answers as far as is known.
/// No precondition. Thread safe.
[[nodiscard]] constexpr bool is_reachable_status(member_status status)
{
    return status == member_status::alive || status == member_status::leaving;
}

/// Whether the claim overrides what is known: a higher incarnation always
/// does, within one incarnation the later status does. Without this order an
/// old claim that arrives late would bring back a dead VM, and operators
/// would see it join and die in turn. Precondition: both are about one VM.
/// Thread safe.
[[nodiscard]] constexpr bool
supersedes(member_update const& claim, member const& known)
{
    if (claim.life != known.life)
        return claim.life > known.life;
    return claim.status > known.status;
}

/// What is known of a member, as a claim. No precondition. Thread safe.
[[nodiscard]] constexpr member_update make_claim(member const& known)
{
    return {known.id, known.domain, known.life, known.status};
}

} // namespace cairnhead
