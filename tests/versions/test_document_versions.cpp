#include "texts.hpp"

#include <versions/version_store.hpp>

#include <criterion/criterion.h>
#include <map>
#include <rapidcheck.h>

using namespace cairnhead;
using namespace cairnhead::version_texts;

namespace
{

constexpr std::uint64_t seed = 20260101;

struct step
{
    std::size_t name = 0;
    std::uint64_t version = 0;
    std::size_t text = 0;
    std::size_t source = 0;
    std::size_t action = 0;
};

std::vector<std::string> const names = {
    "allotment", association, brackenlea, "organisations/brackenlea#accepted"};
std::vector<std::string> const texts = {
    both_allotted,   association_alone,       association_text,
    brackenlea_text, unallotted_address_text, "organisation: ["};

rc::Gen<step> generate_step()
{
    auto const below = [](std::size_t bound)
    {
        return rc::gen::inRange<std::size_t>(0, bound);
    };
    return rc::gen::build<step>(
        rc::gen::set(&step::name, below(names.size())),
        rc::gen::set(&step::version, rc::gen::inRange<std::uint64_t>(0, 9)),
        rc::gen::set(&step::text, below(texts.size())),
        rc::gen::set(&step::source, below(4)),
        rc::gen::set(&step::action, below(6)));
}

std::optional<vm_id> get_source(step const& chosen)
{
    if (chosen.source == 0)
        return std::nullopt;
    return vm_id(static_cast<std::uint32_t>(chosen.source));
}

void apply(version_store& store, time_point now, step const& chosen)
{
    effect_list effects;
    auto const& name = names[chosen.name];
    document_version const version(chosen.version);
    vm_id const peer(static_cast<std::uint32_t>(chosen.source + 1));
    platform_index const index(chosen.version);
    document_peer const peers[] = {{peer, failure_domain_id(1)}};
    switch (chosen.action)
    {
    case 0:
        return store.tick(now, effects);
    case 1:
        return store.receive(
            now, platform_listed{index, {{name, version}}, {}}, effects);
    case 2:
        return store.receive(
            now, peer, {listing_kind::answer, {{name, version}}}, effects);
    case 3:
        return store.set_peers(now, peers);
    case 4:
        return store.receive(
            now, document_fetch_failed{get_source(chosen), name}, effects);
    default:
        return store.receive(
            now,
            document_fetched{
                get_source(chosen), name, version, texts[chosen.text]},
            effects);
    }
}

std::map<std::string, document_version> versions_of(version_store const& store)
{
    std::map<std::string, document_version> held;
    for (auto const& name : names)
    {
        auto const found = store.find_document(name);
        held[name] = found ? found->version : document_version{};
    }
    return held;
}

} // namespace

// Guards against a version that falls: random listings, fetched texts and
// failures from any source arrive in any order.
Test(document_versions, never_fall_whatever_is_received)
{
    rc::detail::TestParams parameters;
    parameters.seed = seed;
    parameters.maxSuccess = 500;
    rc::detail::TestMetadata const metadata;
    auto const property = []
    {
        auto const steps =
            *rc::gen::container<std::vector<step>>(generate_step());
        version_store store({}, {vm_id(100), failure_domain_id(0)}, seed);
        time_point now{};
        std::uint64_t generation = 0;
        auto before = versions_of(store);
        for (auto const& chosen : steps)
        {
            now += 300ms;
            apply(store, now, chosen);
            auto const after = versions_of(store);
            for (auto const& name : names)
                RC_ASSERT(after.at(name) >= before.at(name));
            RC_ASSERT(store.generation() >= generation);
            RC_ASSERT(store.current() != nullptr);
            generation = store.generation();
            before = after;
        }
    };
    auto const result =
        rc::detail::checkTestable(property, metadata, parameters);
    cr_assert(result.is<rc::detail::SuccessResult>());
}
