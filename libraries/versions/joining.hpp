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

/// How a VM that has just started comes to documents: it asks the addresses
/// that it knows and follows where they send it. Where they do not answer at
/// once, it reads one page of the platform: where that is all, as with few
/// upstreams, nothing is sooner. It reads more only when it is told to, when
/// nobody serves it, or when the lot falls on it.
///
/// Load that this answers: all VMs of a fleet start at once. If each read the
/// platform by itself, as none knows of the others, a start of all would be as
/// many complete reads as there are VMs.
/// Thread safety of all methods: none.
class joining
{
public:
    explicit joining(vm_identity const& self);

    /// The process started. A seed, which others ask first, reads the platform
    /// at once; so does who knows nobody to ask. Precondition: called once.
    void begin(time_point now, bool is_own_seed, version_random& random);

    /// Whether the peers are to be asked now; counts as asked. No precondition.
    [[nodiscard]] bool take_due(time_point now);

    /// How many of them are to be asked at once: two, as one may be gone, and
    /// more as long as nobody answers. Where all start at once, those that all
    /// ask are busy enough with that. No precondition.
    [[nodiscard]] std::size_t peers_to_ask() const;

    /// What to ask first, and whom it was referred to. No precondition.
    [[nodiscard]] join_request request() const;

    /// Whom to ask of those that were named: each once in an attempt. No
    /// precondition.
    [[nodiscard]] std::vector<vm_id> follow(
        time_point now, join_referral const& referral, version_random& random);

    /// The platform holds more than a page. No precondition.
    void found_long();

    /// How much of the platform this VM is to read though it knows no
    /// documents. No precondition.
    [[nodiscard]] platform_access choose_access(time_point now);

    /// When something will be due that is not due yet. What is due already
    /// waits for an answer: with a deadline that has passed the VM would wake
    /// up again and again, which shows as a core that is busy while the
    /// platform is down. No precondition.
    [[nodiscard]] std::optional<time_point> next_due(time_point now) const;

    /// Whether it goes on reading for others once it has documents. No
    /// precondition.
    [[nodiscard]] bool reads_on(time_point now) const;

private:
    vm_identity self;
    absl::flat_hash_set<vm_id> asked;
    /// How often it asked since somebody answered.
    std::size_t questions = 0;
    /// How often it was sent to others in vain.
    std::uint32_t attempts = 0;
    time_point next_ask_at;
    time_point glance_at;
    time_point read_at;
    bool has_begun = false;
    bool is_seed = false;
    bool is_glancing = false;
    bool is_long = false;
    bool was_referred = false;
    /// Since it asked last.
    bool is_referred = false;
};

} // namespace cairnhead
