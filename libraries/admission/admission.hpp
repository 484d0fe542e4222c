#pragma once

#include <event/effect.hpp>
#include <event/settings.hpp>
#include <model/directory.hpp>

#include <absl/container/flat_hash_map.h>
#include <optional>

namespace cairnhead
{

/// An opening was refused by a limit.
struct admission_refusal
{
    refusal_reason reason = refusal_reason::service_limit;
    time_point retry_at;
};

/// Limits on openings and open flows, per service and per organisation, so
/// that one organisation's burst leaves the others theirs. Each VM enforces
/// its share: the declared limit divided by the number of VMs that own flows.
///
/// Rates are kept as the next permitted time of each service (the generic
/// cell rate algorithm): a deadline, and nothing to refill.
/// Thread safety of all methods: none; one thread, the reducer's.
class admission
{
public:
    admission(admission_settings const& settings, std::uint32_t maximum_pins);

    /// How many VMs own flows now; at least 1.
    void set_vm_count(std::uint32_t vm_count);

    /// Decides one opening; counts it when admitted. `pins` is the number of
    /// pins in the whole table. No precondition.
    [[nodiscard]] std::optional<admission_refusal>
    admit(time_point now, service const& service, std::uint32_t pins);

    /// A pin was added to or removed from this VM's table.
    void pin_added(service const& service);
    void pin_removed(service_id service, organisation_id organisation);

    /// A caller repeats an opening that was placed. Repeats beyond the budget
    /// (a fifth of the openings admitted lately, and a small floor) are not
    /// forwarded while the service is at its limit.
    [[nodiscard]] bool may_repeat(time_point now, service const& service);

private:
    admission_settings settings;
    std::uint32_t maximum_pins;
    std::uint32_t vm_count = 1;
    // The implementation adds its state here.
};

} // namespace cairnhead
