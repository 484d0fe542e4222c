#include "texts.hpp"

#include <versions/version_store.hpp>

#include <criterion/criterion.h>

using namespace cairnhead;
using namespace cairnhead::version_texts;

namespace
{

vm_id const own(100);
vm_id const first_peer(1);
vm_id const second_peer(2);

/// One store whose effects are looked at one step at a time.
struct single_store
{
    single_store()
    {
        this->see({first_peer, second_peer});
    }

    void see(std::vector<vm_id> const& reachable)
    {
        std::vector<document_peer> peers;
        peers.reserve(reachable.size());
        for (auto const id : reachable)
            peers.push_back({id, failure_domain_id(1)});
        this->store.set_peers(this->now, peers);
    }

    void list(vm_id peer, std::string const& name, std::uint64_t version)
    {
        document_listing const listing{
            listing_kind::answer, {{name, document_version(version)}}};
        this->effects.clear();
        this->store.receive(this->now, peer, listing, this->effects);
    }

    void
    serve(std::optional<vm_id> source, std::uint64_t version, std::string text)
    {
        document_fetched const fetched{
            source, association, document_version(version), std::move(text)};
        this->effects.clear();
        this->store.receive(this->now, fetched, this->effects);
    }

    void wait(duration time)
    {
        this->now += time;
        this->effects.clear();
        this->store.tick(this->now, this->effects);
    }

    template <typename Effect>
    [[nodiscard]] std::vector<Effect> all() const
    {
        std::vector<Effect> found;
        for (auto const& item : this->effects)
        {
            if (auto const* wanted = std::get_if<Effect>(&item))
                found.push_back(*wanted);
        }
        return found;
    }

    /// The only fetch among the effects.
    [[nodiscard]] fetch_document only_fetch() const
    {
        auto const fetches = this->all<fetch_document>();
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

Test(single_store, an_older_text_than_was_asked_for_is_ignored)
{
    // Symptom: a joiner starts with what operators have replaced. Sequence: a
    // peer announces 6, a stale source serves 5. Cause: any text above the
    // one held (none) is taken.
    single_store vm;
    vm.list(first_peer, association, 6);
    for (auto const source :
         {std::optional<vm_id>(), std::optional(second_peer),
          std::optional(first_peer)})
    {
        vm.serve(source, 5, association_text);
        cr_expect_eq(vm.held_version(), 0);
        cr_expect_not(vm.is_caught_up());
    }
    vm.serve(first_peer, 6, association_text);
    cr_expect_eq(vm.held_version(), 6);
    cr_expect(vm.is_caught_up());
}

Test(single_store, an_empty_answer_says_nothing)
{
    // Symptom: a joiner says that it is ready without any document. Sequence:
    // the peer that answers it has just joined too. Cause: any answer counts.
    single_store vm;
    document_listing const empty{listing_kind::answer, {}};
    vm.store.receive(vm.now, first_peer, empty, vm.effects);
    cr_expect_not(vm.is_caught_up());
}

Test(single_store, a_fetch_or_watch_without_answer_is_given_up)
{
    // Symptom: one VM stays behind for good. Sequence: an answer is lost.
    // Cause: a call in progress that nobody ends.
    single_store vm;
    vm.wait(100ms);
    cr_expect_eq(vm.all<watch_platform>().size(), 1);
    vm.list(first_peer, association, 1);
    cr_expect(vm.only_fetch().source == first_peer);
    vm.list(second_peer, association, 1);
    cr_expect(vm.all<fetch_document>().empty());
    vm.wait(version_settings{}.fetch_timeout);
    cr_expect(vm.only_fetch().source == second_peer);
    vm.wait(1h);
    vm.wait(1h);
    cr_expect_eq(vm.all<watch_platform>().size(), 1);
}

Test(single_store, what_only_a_vanished_peer_had_is_not_waited_for)
{
    // Symptom: a joiner never places anything, or lacks an organisation that
    // all others serve. Sequence: a peer announces 6 and dies; the others have
    // 5. Cause: the mark outlives whoever could serve it.
    single_store vm;
    vm.list(first_peer, association, 6);
    vm.list(second_peer, association, 5);
    vm.see({second_peer});
    vm.wait(100ms);
    auto const fetch = vm.only_fetch();
    cr_expect(fetch.source == second_peer);
    cr_expect(fetch.version == document_version(5));
    vm.serve(second_peer, 5, association_text);
    cr_expect_eq(vm.held_version(), 5);
    cr_expect(vm.is_caught_up());
}

Test(single_store, a_version_that_rises_during_its_fetch_is_asked_for_again)
{
    // Symptom: a change arrives seconds late. Sequence: 6 is announced while
    // 5 is on its way. Cause: the peer that gave 5, as asked, counts as
    // having failed.
    single_store vm;
    vm.see({first_peer});
    vm.list(first_peer, association, 5);
    vm.list(first_peer, association, 6);
    cr_expect(vm.all<fetch_document>().empty());
    vm.serve(first_peer, 5, association_text);
    auto const fetch = vm.only_fetch();
    cr_expect(fetch.source == first_peer);
    cr_expect(fetch.version == document_version(6));
}

Test(single_store, texts_and_names_out_of_bounds_are_not_kept)
{
    // Symptom: memory grows until the process is killed. Sequence: a source
    // serves more than the protocol allows. Cause: no bound where it arrives.
    single_store vm;
    vm.serve(first_peer, 1, std::string(maximum_text_bytes + 1, ' '));
    cr_expect_eq(vm.held_version(), 0);
    vm.list(first_peer, "elsewhere/a", 1);
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

Test(single_store, listings_are_asked_for_at_a_limited_rate)
{
    // Symptom: listings fill the control traffic. Sequence: two VMs keep
    // differing, and ping each other. Cause: one request for each digest.
    single_store vm;
    std::size_t requests = 0;
    for (auto round = 0; round < 40; ++round)
    {
        vm.now += 100ms;
        vm.effects.clear();
        vm.store.compare_digest(vm.now, first_peer, 1, vm.effects);
        requests += vm.all<send_control>().size();
    }
    cr_expect_eq(requests, 2);
}
