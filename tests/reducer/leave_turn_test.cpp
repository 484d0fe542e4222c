#include <reducer/leave_turn.hpp>

#include <criterion/criterion.h>
#include <vector>

using namespace cairnhead;
using namespace std::chrono_literals;

namespace
{

constexpr failure_domain_id own_domain(1);
constexpr failure_domain_id other_domain(2);
constexpr vm_identity self{vm_id(1), own_domain};

/// The VMs that one VM sees, and its turn.
class domain_of_vms
{
public:
    explicit domain_of_vms(std::uint32_t vms)
    {
        for (std::uint32_t vm = 1; vm <= vms; ++vm)
            this->members.push_back(
                {vm_id(vm),
                 own_domain,
                 incarnation(1),
                 member_status::alive,
                 {}});
        this->observe();
    }

    void set(std::uint32_t vm, member_status status, std::uint64_t life = 1)
    {
        this->members[vm - 1].status = status;
        this->members[vm - 1].life = incarnation(life);
        this->observe();
    }

    void observe()
    {
        this->turn.observe(this->now, self, this->members);
    }

    /// How long the VM waits for its turn.
    [[nodiscard]] duration wait()
    {
        auto const began_at = this->now;
        this->turn.request(began_at, began_at + this->longest);
        while (!this->turn.take(this->now))
            this->now += 50ms;
        return this->now - began_at;
    }

    time_point now{1h};
    std::vector<member> members;
    leave_turn turn;
    duration longest = 3s;
};

} // namespace

Test(leave_turn, comes_at_once_while_enough_others_are_used)
{
    cr_expect(domain_of_vms(1).wait() == 0s);
    cr_expect(domain_of_vms(2).wait() == 0s);
    domain_of_vms of_five(5);
    of_five.set(2, member_status::leaving);
    cr_expect(of_five.wait() == 0s);
    domain_of_vms switched_off(2);
    switched_off.longest = 0s;
    switched_off.set(2, member_status::leaving);
    cr_expect(switched_off.wait() == 0s);
}

Test(leave_turn, waits_until_the_one_before_is_used_again)
{
    // Symptom: callers wait for VMs that have just ended. Sequence: both VMs of
    // a domain are told to stop, the second before the first is back. Cause:
    // the fabric uses all VMs of a domain where fewer than half are ready.
    domain_of_vms vms(2);
    vms.set(2, member_status::leaving);
    vms.turn.request(vms.now, vms.now + 3s);
    cr_expect_not(vms.turn.take(vms.now + 2s));
    vms.now += 2s;
    // One that was started joins only with the registry in hand.
    vms.set(2, member_status::alive, 2);
    cr_expect(vms.turn.take(vms.now), "the next question finds it ready");
    cr_expect_not(vms.turn.is_waiting());
}

Test(leave_turn, never_takes_longer_than_the_vm_has)
{
    domain_of_vms vms(3);
    vms.set(2, member_status::leaving);
    vms.set(3, member_status::suspect);
    cr_expect(vms.wait() == 3s);
}

Test(leave_turn, a_vm_that_died_is_expected_back_for_a_while)
{
    domain_of_vms vms(2);
    vms.set(2, member_status::dead);
    cr_expect(vms.wait() == 3s);
    vms.now += 10s;
    vms.observe();
    cr_expect(vms.wait() == 0s);
}

Test(leave_turn, vms_that_stop_at_the_same_moment_begin_one_after_the_other)
{
    // Symptom and cause as above; nobody is leaving yet as each is told.
    domain_of_vms vms(4);
    vms.members[0].id = vm_id(9);
    vms.turn = leave_turn();
    vms.turn.observe(vms.now, {vm_id(9), own_domain}, vms.members);
    cr_expect(vms.wait() == 450ms);
}

Test(leave_turn, other_failure_domains_do_not_count)
{
    domain_of_vms vms(3);
    vms.members[1].domain = other_domain;
    vms.turn = leave_turn();
    vms.observe();
    vms.set(2, member_status::dead);
    cr_expect(vms.wait() == 0s);
}

Test(leave_turn, tells_when_the_end_would_cost_packets_at_a_second_vm)
{
    domain_of_vms vms(3);
    cr_expect_not(vms.turn.is_needed(vms.now), "two of three are ready");
    vms.set(2, member_status::leaving);
    cr_expect_not(vms.turn.is_needed(vms.now), "the other passes packets");
    vms.set(2, member_status::dead);
    cr_expect(vms.turn.is_needed(vms.now), "one of three is ready");
    vms.set(3, member_status::leaving);
    cr_expect_not(
        vms.turn.is_needed(vms.now), "none is ready: others are used");
}
