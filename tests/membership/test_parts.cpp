#include <membership/member_table.hpp>
#include <membership/member_update_queue.hpp>

#include <criterion/criterion.h>
#include <cstdlib>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace cairnhead;

namespace
{

/// Each run draws the same cases, so the verdict is always the same.
template <typename Property>
void check_property(Property const& property)
{
    setenv("RC_PARAMS", "seed=20240611 max_success=300", 1);
    cr_assert(rc::check(property));
}

member_update draw_claim()
{
    return {
        vm_id(*rc::gen::inRange<std::uint32_t>(1, 6)), failure_domain_id(0),
        incarnation(*rc::gen::inRange<std::uint64_t>(1, 4)),
        member_status(*rc::gen::inRange(0, 4))};
}

member make_member(member_update const& claim)
{
    return {claim.vm, claim.domain, claim.life, claim.status, {}};
}

} // namespace

Test(membership_parts, claims_end_the_same_in_any_order)
{
    // VMs hear the same claims in different orders; if the outcome depended
    // on it they would disagree for ever about who owns a flow.
    check_property(
        []
        {
            std::vector<member_update> claims;
            for (int drawn = 0; drawn < 6; ++drawn)
            {
                claims.push_back(draw_claim());
                claims.back().vm = vm_id(1);
            }
            auto const believed = [](std::vector<member_update> const& heard)
            {
                member known = make_member(heard.front());
                for (member_update const& claim : heard)
                    known =
                        supersedes(claim, known) ? make_member(claim) : known;
                return make_claim(known);
            };
            auto const before = believed(claims);
            std::rotate(
                claims.begin(), claims.begin() + *rc::gen::inRange(0, 6),
                claims.end());
            std::reverse(claims.begin(), claims.begin() + 3);
            RC_ASSERT(believed(claims) == before);
        });
}

Test(membership_parts, table_agrees_with_a_plain_map)
{
    check_property(
        []
        {
            member_table table;
            std::map<vm_id, member> model;
            for (int step = 0; step < 30; ++step)
            {
                member const drawn = make_member(draw_claim());
                if (*rc::gen::inRange(0, 4) == 0)
                {
                    table.erase(drawn.id);
                    model.erase(drawn.id);
                    continue;
                }
                auto const generation = table.generation();
                bool const was_same =
                    model.contains(drawn.id)
                        ? model.at(drawn.id).status == drawn.status
                        : drawn.status == member_status::dead;
                table.put(drawn);
                model.insert_or_assign(drawn.id, drawn);
                RC_ASSERT(was_same == (table.generation() == generation));
            }
            std::size_t live = 0;
            std::size_t reachable = 0;
            for (auto const& [id, known] : model)
            {
                RC_ASSERT(make_claim(*table.find(id)) == make_claim(known));
                live += is_live_status(known.status) ? 1 : 0;
                reachable += is_reachable_status(known.status) ? 1 : 0;
            }
            RC_ASSERT(table.all().size() == model.size());
            RC_ASSERT(table.live_count() == live);
            RC_ASSERT(
                model.empty() || table.is_domain_reachable(
                                     failure_domain_id(0)) == (reachable > 0));
        });
}

Test(membership_parts, updates_are_sent_a_bounded_number_of_times)
{
    check_property(
        []
        {
            member_update_queue queue;
            std::map<vm_id, std::size_t> transmissions;
            std::size_t const limit = *rc::gen::inRange(1, 8);
            for (int pushed = 0; pushed < 10; ++pushed)
            {
                member_update const claim = draw_claim();
                queue.push(claim);
                transmissions[claim.vm] = 0;
            }
            std::vector<member_update> message;
            for (std::size_t sent = 0; sent <= 10 * limit; ++sent)
            {
                message.clear();
                queue.take(3, limit, message);
                std::set<vm_id> named;
                for (member_update const& claim : message)
                {
                    RC_ASSERT(named.insert(claim.vm).second);
                    ++transmissions[claim.vm];
                }
            }
            RC_ASSERT(message.empty());
            for (auto const& [vm, count] : transmissions)
                RC_ASSERT(count == limit);
        });
}

Test(membership_parts, the_newest_update_is_sent_first)
{
    member_update_queue queue;
    for (std::uint32_t number = 1; number <= 3; ++number)
        queue.push({vm_id(number), {}, {}, member_status::alive});
    std::vector<member_update> message;
    queue.take(1, 9, message);
    queue.take(2, 9, message);
    cr_assert_eq(message.at(0).vm, vm_id(3));
    cr_assert_eq(message.at(1).vm, vm_id(2));
    cr_assert_eq(message.at(2).vm, vm_id(1));
}
