#include "late_vm.hpp"

using namespace cairnhead;
using namespace cairnhead::tagging_test;

Test(late_vm, resets_no_flow_of_a_live_upstream)
{
    // Symptom: several live flows are reset at once. Sequence: a VM receives a
    // large document and sends it to its peers. Its link is full for longer
    // than a check lasts; meanwhile callers retransmit, and no check is
    // answered. Cause: the VM attributes its own delay to the upstreams.
    std::size_t resets_of_dead_upstreams = 0;
    std::size_t inconclusive = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
    {
        late_vm vm({.seed = seed});
        vm.run();
        cr_expect_eq(vm.resets_of_live_upstreams(), 0, "seed %lu", seed);
        resets_of_dead_upstreams += vm.resets_of_dead_upstreams();
        inconclusive += vm.checks_with(connection_outcome::inconclusive);
    }
    cr_expect_gt(
        resets_of_dead_upstreams, 200, "flows of dead upstreams are not reset");
    cr_expect_gt(inconclusive, 200, "no check ran on a delayed VM");
}

Test(late_vm, resets_flows_of_dead_upstreams_when_it_is_not_late)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
        late_vm vm({.seed = seed, .full_links = 0, .pauses = 0});
        vm.run();
        cr_expect_eq(vm.resets_of_live_upstreams(), 0, "seed %lu", seed);
        cr_expect_gt(vm.resets_of_dead_upstreams(), 0, "seed %lu", seed);
        cr_expect_eq(
            vm.checks_with(connection_outcome::inconclusive), 0, "seed %lu",
            seed);
    }
}
