#pragma once

#include <event/settings.hpp>

#include <map>
#include <optional>
#include <vector>

namespace cairnhead
{

/// Detects which failure domains are unreachable, from callers' packets and
/// from messages of the domains' VMs.
///
/// A false detection resets live flows, so each of these conditions must hold:
/// some of the domain's upstreams are silent, none of them answered for a
/// while, upstreams in other domains did, this VM received messages from the
/// domain's VMs before, and none of those VMs answers a probe. No method has a
/// precondition, but the constructor has one. None is thread-safe; all run on
/// the reducer's thread.
class domain_reachability
{
public:
    /// Precondition: the settings outlive the object.
    domain_reachability(
        tagging_settings const& settings, failure_domain_id own);

    /// Records that an upstream of the domain answered a caller at `at` or
    /// later.
    void record_answered(time_point at, failure_domain_id domain);

    /// Records a message from a VM of the domain.
    void record_message(time_point now, failure_domain_id domain);

    /// Whether an upstream's silence may lead to a probe of its domain, so that
    /// the caller has to count the domain's silent upstreams.
    [[nodiscard]] bool
    may_be_unreachable(time_point now, failure_domain_id domain) const;

    /// Records that a caller retransmitted to an upstream of the domain, of
    /// which `silent_upstreams` are silent now.
    void record_silence(
        time_point now, failure_domain_id domain, std::size_t silent_upstreams);

    /// Requests new probes of the VMs of unreachable domains. To be called
    /// about once a second.
    void probe_again(time_point now);

    /// Marks the domains as unreachable whose VMs did not answer a probe by the
    /// deadline.
    void advance(time_point now);

    /// When `advance` should be called next, if at all.
    [[nodiscard]] std::optional<time_point> next_due() const;

    /// Whether the domain is considered unreachable.
    [[nodiscard]] bool is_unreachable(failure_domain_id domain) const;

    /// Returns the domains whose VMs are to be probed, added since the last
    /// call.
    [[nodiscard]] std::vector<failure_domain_id> take_probe_requests();

    /// A domain that became unreachable or reachable.
    struct reachability_change
    {
        failure_domain_id domain;
        bool is_unreachable = false;
    };

    /// Returns the changes since the last call.
    [[nodiscard]] std::vector<reachability_change> take_changes();

private:
    struct domain_state
    {
        time_point answered_at;
        std::optional<time_point> message_at;
        /// Set while a probe of the domain's VMs is unanswered.
        std::optional<time_point> answer_deadline;
        time_point probed_at;
        bool is_unreachable = false;
    };

    [[nodiscard]] bool
    has_answers_elsewhere(time_point now, failure_domain_id domain) const;
    void mark_reachable(failure_domain_id domain, domain_state& state);

    tagging_settings const& settings;
    failure_domain_id own_domain;
    /// An ordered map, as the same events must give the same effects.
    std::map<failure_domain_id, domain_state> domains;
    std::vector<failure_domain_id> probe_requests;
    std::vector<reachability_change> changes;
};

} // namespace cairnhead
