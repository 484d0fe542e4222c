#pragma once

#include <event/effect.hpp>
#include <event/settings.hpp>
#include <rating/decayed_sum.hpp>
#include <rating/rating_table.hpp>
#include <registry/tag.hpp>
#include <tagging/answer_time_placement.hpp>
#include <tagging/domain_reachability.hpp>
#include <tagging/slow_start_limiter.hpp>
#include <tagging/spill_control.hpp>
#include <tagging/upstream_reach.hpp>
#include <tagging/upstream_view.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace cairnhead
{

/// What one VM knows about one registered upstream.
struct tagged_upstream
{
    registered_upstream registered;
    upstream_tag tag;
    failure_domain_id domain;
    /// Number of the registry update that first listed the upstream at this VM.
    /// Later updates have higher numbers.
    std::uint64_t learned_in_update = 0;
    /// Set while the registry does not list the upstream.
    std::optional<time_point> missing_since;
    /// End of slow start.
    time_point cold_until;
    slow_start_limiter slow_start_openings;
    /// Consecutive openings that the upstream left unanswered.
    std::uint32_t failures = 0;
    /// Until then the upstream gets new flows only if no better one is left.
    time_point avoided_until;
    /// Flows that this VM forwards to the upstream.
    std::uint32_t flows = 0;
    upstream_reach reach;
    /// Openings that this VM sent it since its rating. A rating covers about a
    /// second; without one, earlier openings are done, too.
    decayed_sum openings_since_rating{std::chrono::seconds(1)};
};

/// Address and port at which an upstream receives packets.
struct upstream_endpoint
{
    ipv4_address address;
    std::uint16_t port = 0;

    bool operator==(upstream_endpoint const&) const = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, upstream_endpoint const& place)
    {
        return Hash::combine(
            std::move(state), place.address.value(), place.port);
    }
};

/// The upstream chosen for a flow, and the size of the set it was chosen from.
struct upstream_choice
{
    /// Null if no upstream may take the flow.
    tagged_upstream* chosen = nullptr;
    flow_rule rule = flow_rule::no_upstream;
    std::string pool;
    std::uint32_t pool_size = 0;
    std::uint32_t ready = 0;
    /// Upstreams of the pool that were excluded for these reasons.
    std::uint32_t evacuated = 0;
    std::uint32_t cold = 0;
    /// Of the opening's route.
    std::optional<std::uint8_t> priority{};
};

/// What the choice of an upstream depends on besides the pool.
struct opening_kind
{
    /// Otherwise the upstream is chosen by the flows that pass this VM alone.
    bool uses_ratings = false;
    flow_length length = flow_length::many_requests;
    /// The failure domains to which the opening is spilled; empty if it is not.
    /// Precondition: valid during the choice.
    std::span<failure_domain_id const> spill_to{};
};

/// A registered upstream as a candidate for a new flow.
struct upstream_candidate
{
    registered_upstream registered;
    std::uint32_t flows = 0;
    upstream_view view;
};

/// Table of the upstreams that the registry lists or listed recently, by tag
/// and by pool. Chooses the upstream for each new flow. No method has a
/// precondition unless its comment states one. None is thread-safe; all run on
/// the reducer's thread.
class tagged_upstreams
{
public:
    /// Precondition: the settings outlive the object.
    tagged_upstreams(
        tagging_settings const& settings,
        domain_reachability const& reachability,
        failure_domain_id own,
        std::uint64_t seed);

    /// Changes that a registry update brought to upstreams known before it.
    struct update_outcome
    {
        /// Upstreams that restarted under the same instance number. What this
        /// VM observed of the earlier incarnation no longer applies.
        std::vector<upstream_tag> restarted;
        /// Upstreams whose address now belongs to another one, so that they
        /// have stopped.
        std::vector<upstream_tag> taken_over;
    };

    /// Sets the failure domains that operators evacuate from now on. When an
    /// evacuation ends, the domain's upstreams are put into slow start: they
    /// may have restarted meanwhile, and all VMs return to them at once.
    void set_evacuated(time_point now, std::span<std::string const> names);

    /// Sets the slow start parameters of the pools; sorted by pool.
    void set_warmups(std::span<pool_warmup const> listed);

    /// Sets the VMs of the own failure domain, this one included. They decide
    /// which VM opens flows at a cold upstream.
    void set_domain_vms(vm_id self, std::span<vm_id const> vms);

    /// Whether an opening that was already sent to the upstream may be sent to
    /// it again.
    [[nodiscard]] bool
    may_resend_opening(time_point now, tagged_upstream const& upstream) const;

    /// Whether the upstream, which has got an opening, may get the opening
    /// again although the caller has confirmed another upstream. One that has
    /// stopped listening would reset the caller's flow.
    [[nodiscard]] bool
    may_repeat_opening(time_point now, tagged_upstream const& upstream) const;

    /// Records that this VM opened a flow at the upstream.
    void record_opening(time_point now, tagged_upstream& upstream) const;

    /// Applies the differences between the previous listing of the registry and
    /// the current one.
    [[nodiscard]] update_outcome update(
        time_point now,
        upstream_listing const& before,
        upstream_listing const& listing);

    /// Forgets all upstreams, as if no listing had been received.
    void clear();

    /// Whether another upstream registered at the same address later. An
    /// address is reassigned only after its upstream has stopped. Connections
    /// then reach the new upstream, which ignores packets meant for the old
    /// one. Neither checks nor silence reveal this, and callers would wait
    /// until their deadlines.
    [[nodiscard]] bool
    is_address_taken_over(tagged_upstream const& upstream) const;

    /// Removes upstreams that have been missing from the registry for longer
    /// than the retention setting.
    void forget_old(time_point now);

    /// The upstream with this tag, or nullptr; valid until the next change of
    /// the table.
    [[nodiscard]] tagged_upstream* find(upstream_tag tag);
    [[nodiscard]] tagged_upstream const* find(upstream_tag tag) const;

    /// The tag of an opening to the upstream: its provisional tag, unless that
    /// is zero or another upstream's own.
    [[nodiscard]] upstream_tag opening_tag_of(
        tagged_upstream const& upstream,
        std::uint32_t opening_sequence,
        offer_standing standing) const;

    /// Chooses an upstream of the pool for a new flow: the least loaded one
    /// that is ready. An upstream that recently left openings unanswered, or
    /// that is missing from the registry, is chosen only if no other is left.
    /// Never chooses `excluded` (zero excludes none).
    /// With ratings, one that answers errors ranks between these, and among
    /// those that are ready slow and busy ones are left out.
    [[nodiscard]] upstream_choice choose(
        time_point now,
        std::string_view pool,
        upstream_tag excluded,
        opening_kind const& kind = {});

    /// Lets choices depend on ratings where the opening's kind says so.
    /// Precondition: the table outlives the object.
    void use_ratings(rating_table const& table);

    /// Records that the upstream was rated just now.
    void record_rating(upstream_tag rated);

    /// The failure domains, other than the own one, in which an upstream of
    /// the pool is ready; sorted.
    [[nodiscard]] std::vector<failure_domain_id>
    other_ready_domains(time_point now, std::string_view pool) const;

    /// The upstreams that the registry lists, with their state as this VM sees
    /// it.
    [[nodiscard]] std::vector<upstream_candidate>
    registered_candidates(time_point now) const;

    /// The pool's upstreams in the order in which a new flow would prefer them,
    /// apart from the random choice among equals.
    [[nodiscard]] std::vector<upstream_candidate>
    candidates(time_point now, std::string_view pool) const;

    /// Number of listed upstreams of the domain that are silent.
    [[nodiscard]] std::size_t count_silent(failure_domain_id domain) const;

    /// Records that the upstream left an opening unanswered.
    void record_unanswered(time_point now, tagged_upstream& upstream) const;

    /// Records that the upstream answered a caller at `at` or later.
    static void record_answered(time_point at, tagged_upstream& upstream);

    /// Reference upstreams for a check of the suspect: those that answered
    /// callers most recently, first one of the own failure domain, then one of
    /// another. Contains at most these two.
    [[nodiscard]] std::vector<connection_target>
    choose_reference_upstreams(upstream_tag suspect) const;

    /// The failure domain's name, for logs and operators; empty if no upstream
    /// is in it.
    [[nodiscard]] std::string name_of(failure_domain_id domain) const;

    /// All upstreams in the table.
    [[nodiscard]] std::span<tagged_upstream const> all() const;

private:
    /// Order of preference; lower values are chosen first.
    enum class selection_tier : std::uint8_t
    {
        ready,
        ejected,
        avoided,
        missing,
        unusable,
    };

    [[nodiscard]] static flow_rule rule_for(selection_tier chosen);
    [[nodiscard]] static selection_tier tier_for(upstream_verdict verdict);
    [[nodiscard]] upstream_verdict
    verdict_on(time_point now, tagged_upstream const& upstream) const;
    [[nodiscard]] bool
    is_cold_and_full(time_point now, tagged_upstream const& upstream) const;
    [[nodiscard]] pool_warmup const*
    warmup_of(tagged_upstream const& upstream) const;
    /// The verdict, where these upstreams count as ejected; sorted.
    [[nodiscard]] upstream_verdict verdict_among(
        time_point now,
        tagged_upstream const& upstream,
        std::span<upstream_tag const> ejected) const;
    /// Of the pool with these members; sorted.
    [[nodiscard]] std::vector<upstream_tag>
    ejected_of(time_point now, std::span<std::size_t const> members) const;
    [[nodiscard]] std::optional<upstream_rating>
    rating_of(time_point now, tagged_upstream const& upstream) const;
    /// Replaces the choice among the ready upstreams by one that depends on
    /// ratings, or spills the opening.
    void choose_by_ratings(
        time_point now,
        opening_kind const& kind,
        std::span<tagged_upstream* const> ready,
        upstream_choice& choice);
    [[nodiscard]] placement_candidate rate(
        time_point now,
        tagged_upstream const& upstream,
        flow_length length) const;
    [[nodiscard]] double
    slots_of(time_point now, tagged_upstream const& upstream) const;
    [[nodiscard]] upstream_view view_of(
        time_point now,
        tagged_upstream const& upstream,
        std::span<upstream_tag const> ejected) const;
    [[nodiscard]] upstream_candidate candidate_of(
        time_point now,
        tagged_upstream const& upstream,
        std::span<upstream_tag const> ejected) const;
    [[nodiscard]] double
    load_of(time_point now, tagged_upstream const& upstream) const;
    void register_upstream(
        time_point now,
        registered_upstream const& registered,
        update_outcome& outcome);
    void check_address_takeover(
        tagged_upstream const& registered, update_outcome& outcome);
    static void reset_after_restart(time_point now, tagged_upstream& restarted);
    void mark_missing(time_point now, instance_number instance);
    void register_waiting_upstreams(time_point now, update_outcome& outcome);
    void add_to_index(std::size_t index);
    void rebuild_index();

    tagging_settings const& settings;
    domain_reachability const& domains;
    failure_domain_id own_domain;
    std::mt19937_64 random;
    answer_time_placement rated_placement;
    /// Null: placement does not depend on ratings.
    rating_table const* ratings = nullptr;
    std::vector<tagged_upstream> upstreams;
    absl::flat_hash_set<failure_domain_id> evacuated;
    std::map<std::string, pool_warmup, std::less<>> warmups;
    appointed_opener opener;
    absl::flat_hash_map<upstream_tag, std::size_t> by_tag;
    std::map<std::string, std::vector<std::size_t>, std::less<>> pools;
    /// The upstream that was listed last at each address.
    absl::flat_hash_map<upstream_endpoint, upstream_tag> by_endpoint;
    /// Number of registry updates so far.
    std::uint64_t update_count = 0;
    /// Listed upstreams whose tag another upstream holds. Sorted by instance.
    std::map<instance_number, registered_upstream> waiting_for_tag;
};

} // namespace cairnhead
