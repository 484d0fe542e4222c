#pragma once

#include <base/identifiers.hpp>

#include <cstdint>

namespace cairnhead
{

/// What one VM believes of another. The order is that of precedence between
/// claims about the same incarnation: a later one overrides an earlier one.
enum class member_status : std::uint8_t
{
    alive = 0,
    /// Probes went unanswered; it may still refute.
    suspect = 1,
    /// It announced a planned leave: it owns nothing new, but still answers.
    leaving = 2,
    /// Confirmed unreachable, or gone after its leave.
    dead = 3,
};

/// One claim about one VM, as it spreads between VMs.
struct member_update
{
    vm_id vm;
    failure_domain_id domain;
    incarnation life;
    member_status status = member_status::alive;

    bool operator==(member_update const&) const = default;
};

} // namespace cairnhead
