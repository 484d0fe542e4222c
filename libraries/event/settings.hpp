#pragma once

#include <base/identifiers.hpp>
#include <base/time.hpp>

#include <cstdint>
#include <vector>

/// The settings of the reducer's parts. Durations are given here and nowhere
/// else: the parts turn them into deadlines when an event arrives.
namespace cairnhead
{

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""min;
using std::chrono_literals::operator""h;

/// Of whom a VM keeps track.
enum class member_scope : std::uint8_t
{
    /// All VMs: whoever owns flows has to know all owners.
    fleet,
    /// The VMs of its failure domain, and a few contacts of each other one.
    failure_domain,
};

struct membership_settings
{
    member_scope scope = member_scope::fleet;
    /// One peer is probed in each period.
    duration probe_period = 500ms;
    /// A direct probe that is unanswered for this long goes to helpers.
    duration probe_timeout = 200ms;
    /// How many helpers are asked to probe in one's place.
    std::uint32_t indirect_probes = 3;
    /// A suspect that does not refute within this time is dead.
    duration suspicion_timeout = 2s;
    /// A gap between two events beyond this voids the VM's own view.
    duration lease = 1500ms;
    /// How long a dead member is remembered, so that old claims do not
    /// bring it back.
    duration dead_retention = 10min;
    /// While VMs are unreachable, one is still probed this often: that is how
    /// a healed partition is noticed.
    duration dead_probe_period = 2s;
    /// Claims per message.
    std::uint32_t updates_per_message = 8;
    /// With the scope of a failure domain, one contact of each other domain is
    /// pinged this often.
    duration contact_period = 2s;
};

struct ownership_settings
{
    /// How long earlier holders of a flow are still asked for its pin.
    duration history_retention = 15min;
};

struct pin_settings
{
    std::uint32_t maximum_pins = 450'000;
    duration opening_lifetime = 20s;
    duration closing_lifetime = 2min;
    duration reset_lifetime = 10s;
    duration feed_lifetime = 2h;
    duration form_lifetime = 30min;
    duration media_lifetime = 10min;
    /// How often a flow's own packets carry its pin to the backup again.
    duration refresh_period = 30s;
    /// The whole table is visited once in this time.
    duration sweep_period = 10s;
};

struct handover_settings
{
    /// Control bytes per second that copying idle pins may use.
    std::uint32_t bytes_per_second = 4'000;
    /// A planned leave ends at the latest after this.
    duration leave_timeout = 5min;
    /// A planned leave lasts at least this long, so that all VMs learn of it,
    /// and this VM of a death that came just before.
    duration leave_minimum = 10s;
    /// How long after a VM was told to stop its process is killed; the times
    /// of a leave follow from it. Zero where nothing kills it: then the two
    /// above hold.
    duration stop_grace = 0s;
};

struct version_settings
{
    /// How many VMs of each failure domain watch the platform.
    std::uint32_t readers_per_domain = 2;
    /// VMs that hear of no reader for this long read in its place. Longer than
    /// two calls of a reader are apart. Zero: nobody does, as where a call may
    /// wait for long.
    duration reader_patience = 0s;
    /// How long one blocking watch waits at the platform.
    duration watch_wait = 30s;
    /// Back-off after a failed platform call, doubled up to the maximum.
    duration backoff_minimum = 500ms;
    duration backoff_maximum = 4s;
    /// A fetch from a peer is given up after this and tried elsewhere.
    duration fetch_timeout = 2s;
    /// New documents are announced to this many VMs at once.
    std::uint32_t announce_fanout = 4;
    /// Branches of the tree by which changes of a registry reach a failure
    /// domain. More make it lower, and load each VM's link and processor more.
    std::uint32_t relay_fanout = 4;
    /// A joiner that hears from nobody for this long starts alone.
    duration join_timeout = 5s;
};

struct placement_settings
{
    /// Openings without any answer, in a row, that eject an upstream.
    std::uint32_t failures_to_eject = 3;
    /// First ejection's length; doubles with each one up to the maximum.
    duration ejection_minimum = 10s;
    duration ejection_maximum = 5min;
    /// At most this share of a service's upstreams is ejected, percent.
    std::uint32_t maximum_ejected_percent = 50;
    /// A cold upstream's share grows linearly over this time.
    duration slow_start = 30s;
    /// Reports older than this count for nothing.
    duration report_lifetime = 10s;
    /// How often each upstream is probed by each of its probers.
    duration probe_period = 2s;
    /// How many VMs of an upstream's failure domain probe it.
    std::uint32_t probers_per_upstream = 2;
};

struct admission_settings
{
    /// Openings in a burst that a limit lets through, milliseconds' worth.
    duration burst = 1s;
    /// Least time told to a caller that was refused.
    duration minimum_retry_after = 1s;
    /// Most time told to a caller that was refused.
    duration maximum_retry_after = 60s;
    /// No organisation may fill more than this share of the pin table, percent.
    std::uint32_t maximum_organisation_percent = 60;
};

/// What decides which upstream a new flow is sent to.
enum class placement_rule : std::uint8_t
{
    /// The number of flows that pass this VM.
    flows,
    /// The ratings of upstreams as well; see libraries/rating.
    answer_times,
};

struct tagging_settings
{
    placement_rule placement = placement_rule::flows;
    /// An upstream that left the registry is known by its tag for this long:
    /// its flows may live on.
    duration upstream_retention = 90s;
    /// An upstream that left the registry without draining may still live, as
    /// the registry loses entries while it is down. It takes new flows for
    /// this long when nothing else is left.
    duration missing_grace = 2s;
    /// An opening that the caller repeats after this was not answered, and
    /// moves to another upstream.
    duration answer_timeout = 120ms;
    /// An opening that the caller has not confirmed after this is sent to
    /// another upstream as well, without waiting for the caller's own copy.
    duration retry_after = 50ms;
    /// How often one opening is sent again so.
    std::uint32_t maximum_retries = 2;
    /// A failure domain from which no upstream answered for this long, while
    /// others did, may be out of reach.
    duration silence_timeout = 400ms;
    /// It is out of reach when none of its VMs answers within this.
    duration ask_timeout = 150ms;
    /// A silent upstream that answered nobody for this long is checked.
    duration check_after = 250ms;
    /// How often a silent upstream is checked again.
    duration check_period = 1s;
    /// How long an upstream that left an opening unanswered is avoided;
    /// doubles with each one up to the maximum.
    duration avoidance_minimum = 1s;
    duration avoidance_maximum = 8s;
    /// Flows that were silent for longer count no more as load.
    duration idle_timeout = 15s;
    /// No flow lasts for longer.
    duration flow_lifetime = 60s;
    /// An upstream of another failure domain counts as this many times as
    /// loaded: flows that stay within a domain outlive its being cut off.
    std::uint32_t remote_load_factor = 8;
    /// Share of a cold upstream, percent.
    std::uint32_t cold_share_percent = 60;
    /// A cold upstream gets at most as many openings in a second, from all VMs,
    /// as it bears by the registry times the first plus the second.
    double cold_overrun = 1.0;
    double cold_slack = 0.0;
    /// More flows than these are routed, but not remembered.
    std::uint32_t maximum_flows = 450'000;
};

/// How packets find their flow's upstream.
enum class flow_memory : std::uint8_t
{
    /// VMs remember it: owners, backups and pins.
    pins,
    /// The packets name it; see libraries/tagging.
    tags,
};

/// Who this VM is. Comes from its settings file.
struct vm_identity
{
    vm_id id;
    failure_domain_id domain;
};

struct reducer_settings
{
    vm_identity self;
    flow_memory memory = flow_memory::pins;
    /// Where to ask first; any one live address is enough.
    std::vector<vm_id> seeds;
    /// Seeds the reducer's random numbers.
    std::uint64_t random_seed = 1;
    membership_settings membership;
    ownership_settings ownership;
    pin_settings pins;
    handover_settings handover;
    version_settings versions;
    placement_settings placement;
    admission_settings admission;
    tagging_settings tagging;
};

} // namespace cairnhead
