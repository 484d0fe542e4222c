#pragma once

#include <admission/departure_estimate.hpp>
#include <admission/opening_rate.hpp>
#include <admission/repeat_budget.hpp>
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
/// its share: the declared limit divided by the number of VMs that own flows,
/// rounded up.
///
/// An organisation may hold pins up to a multiple of the pins that are still
/// free (a dynamic threshold, as switches use for shared buffers). Alone it
/// can fill `maximum_organisation_percent` of the table; when several fill it
/// at once each gets less, and some always stays free for one that comes
/// last. A fixed cap would let two floods of 60 % leave the third nothing.
///
/// Callers that are refused one after the other are told successive times to
/// come back, so that they do not all return at the same moment.
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

    /// Decides one opening; counts it against the rate when admitted. `pins`
    /// is the number of pins in the whole table, owned and backup ones.
    /// Precondition: `now` does not go back between calls.
    [[nodiscard]] std::optional<admission_refusal>
    admit(time_point now, service const& service, std::uint32_t pins);

    /// A pin was added to or removed from this VM's table, as the owner's or
    /// as the backup's: a flow stands on two VMs, and the shares allow for
    /// it. No precondition; a removal that was never added counts nothing.
    void pin_added(service const& service);
    void pin_removed(service_id service, organisation_id organisation);

    /// A caller repeats an opening that was placed. Repeats beyond the budget
    /// (a fifth of the openings admitted lately, and a small floor) are not
    /// forwarded while the service is at its limit.
    /// Precondition: `now` does not go back between calls.
    [[nodiscard]] bool may_repeat(time_point now, service const& service);

private:
    /// Pins held on one account, and when those refused may come back.
    struct pin_account
    {
        std::uint32_t pins = 0;
        departure_estimate departures;
        time_point next_promise;
    };

    struct service_account
    {
        pin_account held;
        opening_rate rate;
        time_point next_rate_promise;
        repeat_budget repeats;
    };

    [[nodiscard]] std::uint32_t share_of(std::uint64_t limit) const;
    [[nodiscard]] bool is_at_flow_limit(
        service_account const& account, service const& service) const;
    [[nodiscard]] bool is_at_rate_limit(
        time_point now,
        service_account const& account,
        service const& service) const;
    [[nodiscard]] bool is_at_organisation_limit(
        pin_account const& account, std::uint32_t pins) const;
    [[nodiscard]] admission_refusal refuse_for_pins(
        time_point now, refusal_reason reason, pin_account& account) const;
    [[nodiscard]] admission_refusal refuse_for_rate(
        time_point now, service const& service, service_account& account) const;
    [[nodiscard]] time_point promise(
        time_point now,
        time_point earliest,
        duration interval,
        time_point& next_promise) const;

    admission_settings settings;
    std::uint32_t maximum_pins;
    std::uint32_t vm_count = 1;
    pin_account table;
    // NOTE: accounts of services that are no longer declared stay. They are
    // as few as the services ever declared in this process's life.
    absl::flat_hash_map<service_id, service_account> services;
    absl::flat_hash_map<organisation_id, pin_account> organisations;
};

} // namespace cairnhead
