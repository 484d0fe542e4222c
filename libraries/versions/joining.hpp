#pragma once

#include <base/time.hpp>
#include <event/settings.hpp>
#include <protocol/control_message.hpp>
#include <versions/backoff.hpp>
#include <versions/platform_watch.hpp>

#include <absl/container/flat_hash_set.h>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace cairnhead
{

/// Obtains the documents for a VM that has just started: asks the addresses
/// that it knows and follows their referrals. If they do not answer at once, it
/// reads one page of the platform: if that page is the whole registry, as with
/// few upstreams, no other way is faster. It reads more only if it is told to,
/// if no VM serves it, or if it was chosen at random.
///
/// Load pattern: all VMs of a fleet start at once. If each read the platform by
/// itself, because none knows of the others, a start of all would cost as many
/// complete reads as there are VMs.
///
/// No method has a precondition unless its comment states one; none is
/// thread-safe.
class joining
{
public:
    explicit joining(vm_identity const& self);

    /// The process started. A seed (a VM that others ask first) reads the
    /// platform at once; so does a VM that knows no peer to ask. Precondition:
    /// called once.
    void begin(time_point now, bool is_own_seed, version_random& random);

    /// Whether to ask peers now. If so, it counts as a request.
    [[nodiscard]] bool take_due(time_point now);

    /// How many peers to ask at once: two, because one may have stopped, and
    /// more as long as none answers. Not more at first: when all VMs start at
    /// once, the peers that all of them ask are busy enough with two requests
    /// from each.
    [[nodiscard]] std::size_t peers_to_ask() const;

    /// The request to send to peers, and to the VMs of a referral.
    [[nodiscard]] join_request request() const;

    /// Which VMs of a referral to ask: each once in an attempt.
    [[nodiscard]] std::vector<vm_id> follow(
        time_point now, join_referral const& referral, version_random& random);

    /// Whether to read the platform's upstreams now, for packets of open flows
    /// alone: no peer has answered in time, and this VM does not read the whole
    /// platform. True once at most.
    [[nodiscard]] bool take_upstreams_read(time_point now);

    /// Records that the platform holds more than one page.
    void record_several_pages();

    /// How much of the platform this VM is to read while it has no documents.
    [[nodiscard]] platform_access choose_access(time_point now);

    /// The next deadline after `now`. An action whose deadline has passed waits
    /// for an answer: if its deadline were returned, the VM would wake up again
    /// and again. Symptom: a core that is busy while the platform is down.
    [[nodiscard]] std::optional<time_point> next_due(time_point now) const;

    /// Whether this VM continues to read for others once it has documents.
    [[nodiscard]] bool keeps_reading(time_point now) const;

private:
    vm_identity self;
    /// The VMs of referrals that were asked in this attempt.
    absl::flat_hash_set<vm_id> asked_holders;
    /// How often this VM asked peers since the last referral.
    std::size_t requests_since_referral = 0;
    /// How many referrals led to no documents.
    std::uint32_t failed_attempts = 0;
    time_point next_request_at;
    time_point first_page_read_at;
    time_point complete_read_at;
    bool has_begun = false;
    bool is_seed = false;
    bool is_reading_first_page = false;
    bool has_several_pages = false;
    bool has_read_upstreams = false;
    bool was_referred = false;
    /// Whether a referral arrived since the last request.
    bool is_referral_pending = false;
};

} // namespace cairnhead
