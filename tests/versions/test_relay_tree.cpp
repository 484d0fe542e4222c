#include <versions/relay_tree.hpp>

#include <algorithm>
#include <criterion/criterion.h>
#include <map>

using namespace cairnhead;

namespace
{

constexpr failure_domain_id domain(1);

std::vector<document_peer> make_domain(std::uint32_t size)
{
    std::vector<document_peer> vms;
    for (std::uint32_t number = 1; number <= size; ++number)
        vms.push_back({vm_id(number), domain});
    return vms;
}

} // namespace

Test(relay_tree, reaches_each_vm_once_whoever_is_the_origin)
{
    for (std::uint32_t const size : {1, 2, 5, 21, 314})
    {
        auto const vms = make_domain(size);
        for (std::uint32_t origin = 1; origin <= size; origin += 7)
        {
            std::map<vm_id, int> copies;
            for (document_peer const& each : vms)
            {
                auto const targets =
                    relay_targets({each.id, domain}, vms, vm_id(origin), 4);
                cr_expect_leq(targets.size(), 4);
                for (vm_id const target : targets)
                    ++copies[target];
            }
            cr_expect_eq(copies.size(), size - 1);
            cr_expect_eq(copies.count(vm_id(origin)), 0);
            for (auto const& [vm, count] : copies)
                cr_expect_eq(count, 1);
        }
    }
}

Test(relay_tree, stays_within_the_failure_domain)
{
    auto vms = make_domain(3);
    vms.push_back({vm_id(9), failure_domain_id(2)});
    auto const targets = relay_targets({vm_id(1), domain}, vms, vm_id(1), 4);
    cr_expect_eq(std::ranges::count(targets, vm_id(9)), 0);
    cr_expect_eq(targets.size(), 2);
}

Test(relay_tree, an_unknown_origin_is_the_root)
{
    auto const vms = make_domain(5);
    std::size_t reached = 0;
    for (document_peer const& each : vms)
        reached += relay_targets({each.id, domain}, vms, vm_id(77), 4).size();
    // The targets of the origin itself are not counted.
    cr_expect_eq(reached, 1);
}
