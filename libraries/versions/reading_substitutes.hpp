#pragma once

#include <base/time.hpp>
#include <event/effect.hpp>
#include <event/settings.hpp>
#include <protocol/control_message.hpp>
#include <versions/backoff.hpp>
#include <versions/document_peer.hpp>

#include <optional>
#include <span>
#include <vector>

namespace cairnhead
{

/// Who reads the platform in place of elected readers that it turns away.
///
/// Load that this answers: a platform that serves a tenth of the VMs and
/// refuses the rest. The election cannot know whom it refuses, so both readers
/// of each failure domain may be among those; without this, changes published
/// meanwhile reach nobody, which shows as a bound on changes broken in the
/// whole fleet. An elected reader that gets no answer asks the other VMs of
/// its domain, one after the other, to read for a while, and keeps to the
/// first one that the platform answers.
///
/// Thread safety of all methods: none.
class reading_substitutes
{
public:
    /// As an elected reader that the platform does not answer: asks the next
    /// VM of the own failure domain when that is due, or the substitute that
    /// was found to go on. No precondition.
    void search(
        time_point now,
        vm_identity const& self,
        std::span<document_peer const> peers,
        version_random& random,
        effect_list& effects);

    /// The platform answers this VM: no substitute is needed. No precondition.
    void end_search();

    /// A peer says that the platform answers it. No precondition.
    void confirmed(time_point now, vm_id substitute);

    /// A peer asks this VM to read for a while. No precondition.
    void asked(time_point now, vm_id asker);

    /// The platform does not answer this VM either. No precondition.
    void give_up();

    /// Whether this VM is to read for others. No precondition.
    [[nodiscard]] bool is_substitute(time_point now) const;

    /// The platform answered this VM: tells those who asked. No precondition.
    void confirm(time_point now, effect_list& effects);

private:
    /// A reader that this VM reads for, and until when.
    struct lent_reading
    {
        vm_id asker;
        time_point ends_at;
        bool is_confirmed = false;
    };

    [[nodiscard]] std::optional<vm_id> next_candidate(
        vm_identity const& self,
        std::span<document_peer const> peers,
        version_random& random);

    // As an elected reader.
    std::optional<vm_id> found;
    time_point found_until;
    time_point next_request_at;
    /// Who is still to be asked in this round, the last one first.
    std::vector<vm_id> candidates;
    bool is_first_round = true;

    // As a substitute.
    std::vector<lent_reading> lent;
};

} // namespace cairnhead
