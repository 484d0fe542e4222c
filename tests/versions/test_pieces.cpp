#include <versions/backoff.hpp>
#include <versions/document_name.hpp>
#include <versions/listing_parts.hpp>
#include <versions/peer_selection.hpp>
#include <versions/platform_watch.hpp>
#include <versions/reader_election.hpp>

#include <criterion/criterion.h>
#include <set>

using namespace cairnhead;

Test(pieces, names)
{
    struct table_entry
    {
        std::string name;
        bool is_document;
        bool is_listed;
    };
    table_entry const table[] = {
        {"allotment", true, true},
        {"allotment#accepted", false, true},
        {"organisations/a", true, true},
        {"organisations/a#accepted", false, true},
        {"organisations/a#accepted#accepted", false, false},
        {"organisations/", false, false},
        {"organisations/a b", false, false},
        {"organisations/a\n", false, false},
        {"other", false, false},
        {"", false, false},
        {"organisations/" + std::string(200, 'a'), false, false},
    };
    for (auto const& entry : table)
    {
        auto const* name = entry.name.c_str();
        cr_expect_eq(is_document_name(name), entry.is_document, "%s", name);
        cr_expect_eq(is_listed_name(name), entry.is_listed, "%s", name);
    }
}

Test(pieces, listings_are_split_and_contain_one_request)
{
    std::vector<document_stamp> stamps;
    stamps.reserve(100);
    for (auto number = 0; number < 100; ++number)
        stamps.push_back(
            {"organisations/n" + std::to_string(number), document_version(1)});
    auto const parts = split_listing(listing_kind::request, stamps);
    cr_assert_gt(parts.size(), 1);
    std::vector<document_stamp> joined;
    for (auto const& part : parts)
    {
        std::size_t bytes = 0;
        for (auto const& stamp : part.documents)
            bytes += stamp.name.size() + 24;
        cr_expect_lt(bytes, maximum_control_bytes);
        auto const is_last = &part == &parts.back();
        cr_expect_eq(part.kind == listing_kind::request, is_last);
        joined.insert(
            joined.end(), part.documents.begin(), part.documents.end());
    }
    cr_expect(joined == stamps);
}

Test(pieces, backoff_grows_to_its_maximum_with_jitter)
{
    version_random random(1);
    backoff delay(500ms, 30s);
    for (auto expected : {500, 1000, 2000, 4000, 8000, 16000, 30000, 30000})
    {
        auto const until = delay.fail({}, random).time_since_epoch();
        cr_expect(until <= std::chrono::milliseconds(expected));
        cr_expect(until >= std::chrono::milliseconds(expected / 2));
    }
    for (auto round = 0; round < 100; ++round)
        cr_expect(delay.fail({}, random).time_since_epoch() <= 30s);
}

Test(pieces, each_domain_elects_its_readers)
{
    std::vector<document_peer> vms;
    for (std::uint32_t vm = 0; vm < 12; ++vm)
        vms.push_back({vm_id(vm + 1), failure_domain_id(vm % 3)});
    std::size_t readers[3] = {};
    for (auto const& vm : vms)
    {
        version_settings settings;
        settings.readers_per_domain = 2;
        reader_election election(settings, {vm.id, vm.domain});
        election.set_peers(time_point(), vms);
        if (election.is_elected())
            ++readers[vm.domain.value()];
    }
    for (auto const count : readers)
        cr_expect_eq(count, 2);
}

Test(pieces, announcements_reach_other_domains_first)
{
    std::vector<document_peer> peers;
    for (std::uint32_t vm = 0; vm < 12; ++vm)
        peers.push_back({vm_id(vm), failure_domain_id(vm % 4)});
    version_random random(1);
    for (auto round = 0; round < 50; ++round)
    {
        auto const targets = choose_announce_targets(
            {vm_id(100), failure_domain_id(0)}, peers, 4, random);
        cr_assert_eq(targets.size(), 4);
        std::set<std::uint32_t> domains;
        for (std::size_t index = 0; index < 3; ++index)
            domains.insert(targets[index].value() % 4);
        cr_expect(domains == (std::set<std::uint32_t>{1, 2, 3}));
    }
}

Test(pieces, a_watch_that_answers_at_once_backs_off)
{
    // Symptom: the platform's limit of reads is exhausted. Sequence: its watch
    // returns at once without changes. Cause: the next watch starts at once.
    version_random random(1);
    version_settings settings;
    settings.backoff_maximum = 30s;
    platform_watch watch(settings);
    std::size_t watches = 0;
    for (time_point now{}; now < time_point{} + 60s; now += 100ms)
    {
        effect_list effects;
        watch.tick(now, platform_access::reading, random, effects);
        watches += effects.size();
        if (!effects.empty())
            watch.listed(now, platform_index(0), random, effects);
    }
    cr_expect_lt(watches, 16);
}
