#include "texts.hpp"

#include <versions/version_store.hpp>

#include <algorithm>
#include <criterion/criterion.h>

using namespace cairnhead;
using namespace cairnhead::version_texts;

namespace
{

vm_id const own(100);
vm_id const first_peer(1);
vm_id const second_peer(2);

/// One store whose effects are inspected after each step.
struct single_store
{
    single_store()
    {
        this->set_peers({first_peer, second_peer});
    }

    void set_peers(std::vector<vm_id> const& reachable)
    {
        std::vector<document_peer> peers;
        peers.reserve(reachable.size());
        for (auto const id : reachable)
            peers.push_back({id, failure_domain_id(1)});
        this->store.set_peers(this->now, peers);
    }

    void
    receive_listing(vm_id peer, std::string const& name, std::uint64_t version)
    {
        document_listing const listing{
            listing_kind::answer, {{name, document_version(version)}}};
        this->effects.clear();
        this->store.receive(this->now, peer, listing, this->effects);
    }

    void receive_text(
        std::optional<vm_id> source, std::uint64_t version, std::string text)
    {
        document_fetched const fetched{
            source, association, document_version(version), std::move(text)};
        this->effects.clear();
        this->store.receive(this->now, fetched, this->effects);
    }

    void advance(duration time)
    {
        this->now += time;
        this->effects.clear();
        this->store.tick(this->now, this->effects);
    }

    template <typename Effect>
    [[nodiscard]] std::vector<Effect> all_effects() const
    {
        std::vector<Effect> found;
        for (auto const& item : this->effects)
        {
            if (auto const* matching = std::get_if<Effect>(&item))
                found.push_back(*matching);
        }
        return found;
    }

    /// The only fetch among the effects; fails the test if there are more or
    /// none.
    [[nodiscard]] fetch_document only_fetch() const
    {
        auto const fetches = this->all_effects<fetch_document>();
        cr_assert_eq(fetches.size(), 1);
        return fetches.front();
    }

    [[nodiscard]] std::uint64_t held_version() const
    {
        auto const held = this->store.find_document(association);
        return held ? held->version.value() : 0;
    }

    [[nodiscard]] bool is_caught_up() const
    {
        return this->store.is_caught_up(this->now);
    }

    time_point now{};
    effect_list effects;
    version_store store{{}, {own, failure_domain_id(0)}, 1};
};

} // namespace

Test(single_store, an_older_text_than_requested_is_ignored)
{
    // Guards against a joiner that starts with a document that operators have
    // replaced: a peer announces version 6, a stale source serves 5, and any
    // text above the one held (none) is stored.
    single_store vm;
    vm.receive_listing(first_peer, association, 6);
    for (auto const source :
         {std::optional<vm_id>(), std::optional(second_peer),
          std::optional(first_peer)})
    {
        vm.receive_text(source, 5, association_text);
        cr_expect_eq(vm.held_version(), 0);
        cr_expect_not(vm.is_caught_up());
    }
    vm.receive_text(first_peer, 6, association_text);
    cr_expect_eq(vm.held_version(), 6);
    cr_expect(vm.is_caught_up());
}

// Symptom: packets of open flows wait for the routes, which take .4 s on a
// small VM's link. Sequence: a peer lists all documents, and its answers come
// over one connection in the order of the questions. Cause: documents are
// fetched by name, or one at a time.
Test(single_store, documents_are_fetched_at_once_and_upstreams_first)
{
    single_store vm;
    document_version const first(1);
    vm.store.receive(
        vm.now, first_peer,
        document_listing{
            listing_kind::answer,
            {{std::string(evacuation_document_name), first},
             {std::string(route_document_name), first},
             {std::string(upstream_document_name), first},
             {association, first}}},
        vm.effects);
    std::vector<std::string> names;
    for (fetch_document const& fetch : vm.all_effects<fetch_document>())
        names.push_back(fetch.name);
    cr_assert_eq(names.size(), 4);
    cr_expect_eq(names.front(), upstream_document_name);
    cr_expect_eq(names.back(), route_document_name);
}

Test(single_store, an_empty_answer_is_ignored)
{
    // Guards against a joiner that reports ready without any document: the peer
    // that answers it has just joined too, and any answer counts.
    single_store vm;
    document_listing const empty{listing_kind::answer, {}};
    vm.store.receive(vm.now, first_peer, empty, vm.effects);
    cr_expect_not(vm.is_caught_up());
}

Test(single_store, an_unanswered_fetch_or_watch_times_out)
{
    // Guards against a VM that stays behind for good: an answer is lost, and
    // the call in progress never times out.
    single_store vm;
    vm.advance(100ms);
    cr_expect_eq(vm.all_effects<watch_platform>().size(), 1);
    vm.receive_listing(first_peer, association, 1);
    cr_expect(vm.only_fetch().source == first_peer);
    vm.receive_listing(second_peer, association, 1);
    cr_expect(vm.all_effects<fetch_document>().empty());
    vm.advance(version_settings{}.fetch_timeout);
    cr_expect(vm.only_fetch().source == second_peer);
    vm.advance(1h);
    vm.advance(1h);
    cr_expect_eq(vm.all_effects<watch_platform>().size(), 1);
}

Test(single_store, a_version_that_only_a_dead_peer_had_is_not_waited_for)
{
    // Guards against a joiner that never places a flow, or lacks an
    // organisation that all others serve: a peer announces version 6 and dies,
    // the others have 5, and the joiner waits for 6 although no peer can serve
    // it.
    single_store vm;
    vm.receive_listing(first_peer, association, 6);
    vm.receive_listing(second_peer, association, 5);
    vm.set_peers({second_peer});
    vm.advance(100ms);
    auto const fetch = vm.only_fetch();
    cr_expect(fetch.source == second_peer);
    cr_expect(fetch.version == document_version(5));
    vm.receive_text(second_peer, 5, association_text);
    cr_expect_eq(vm.held_version(), 5);
    cr_expect(vm.is_caught_up());
}

Test(single_store, a_version_that_rises_during_its_fetch_is_fetched_again)
{
    // Guards against a change that arrives seconds late: version 6 is announced
    // while 5 is being fetched, and the peer that serves 5, as requested,
    // counts as failed.
    single_store vm;
    vm.set_peers({first_peer});
    vm.receive_listing(first_peer, association, 5);
    vm.receive_listing(first_peer, association, 6);
    cr_expect(vm.all_effects<fetch_document>().empty());
    vm.receive_text(first_peer, 5, association_text);
    auto const fetch = vm.only_fetch();
    cr_expect(fetch.source == first_peer);
    cr_expect(fetch.version == document_version(6));
}

Test(single_store, texts_and_names_out_of_bounds_are_not_stored)
{
    // Guards against memory that grows until the process is killed: a source
    // serves more than the protocol allows, and nothing limits what is stored.
    single_store vm;
    vm.receive_text(first_peer, 1, std::string(maximum_text_bytes + 1, ' '));
    cr_expect_eq(vm.held_version(), 0);
    vm.receive_listing(first_peer, "elsewhere/a", 1);
    cr_expect(vm.effects.empty());
    for (std::size_t number = 0; number < maximum_documents + 10; ++number)
    {
        auto const name = "organisations/n" + std::to_string(number);
        vm.store.receive(
            vm.now, document_fetched{first_peer, name, document_version(1), ""},
            vm.effects);
    }
    cr_expect_eq(vm.store.stamps().size(), maximum_documents);
}

Test(single_store, listing_requests_are_rate_limited)
{
    // Guards against listings that fill the control traffic: two VMs whose
    // digests keep differing ping each other, and each digest causes a request.
    single_store vm;
    std::size_t requests = 0;
    for (auto round = 0; round < 40; ++round)
    {
        vm.now += 100ms;
        vm.effects.clear();
        vm.store.compare_digest(vm.now, first_peer, 1, vm.effects);
        requests += vm.all_effects<send_control>().size();
    }
    cr_expect_eq(requests, 2);
}

// Guards against a document that no VM takes in any more while nothing tells
// operators why.
Test(single_store, a_text_that_is_too_long_is_reported_once)
{
    single_store vm;
    auto const count_rejections = [&vm]
    {
        auto const reports = vm.all_effects<report>();
        return std::ranges::count(
            reports, report_kind::document_rejected, &report::kind);
    };
    std::string const too_long(maximum_text_bytes + 1, ' ');
    vm.receive_text(first_peer, 5, too_long);
    cr_expect_eq(count_rejections(), 1);
    cr_expect_eq(vm.held_version(), 0);
    vm.receive_text(second_peer, 5, too_long);
    cr_expect_eq(count_rejections(), 0);
    vm.receive_text(first_peer, 6, too_long);
    cr_expect_eq(count_rejections(), 1);
}
