#include <emulator/emulated_fleet.hpp>

#include <array>
#include <criterion/criterion.h>
#include <map>

using namespace cairnhead;
using namespace cairnhead::emulator;
using namespace std::chrono_literals;

namespace
{

/// The users' bound: a VM that was told to stop is out of use by then.
constexpr duration out_of_use_bound = 4s;

/// A fabric asks twice a second, and gives a VM up after two misses.
constexpr duration two_misses = 1s;

/// For an answer that is on its way and a VM that wakes up late.
constexpr duration lateness = 500ms;

/// The users' bound on a stop: then the process is killed.
constexpr duration kill_bound = 6s;

/// What is wrong in the failure domain as its VMs are told to stop.
enum class trouble : std::uint8_t
{
    none,
    one_frozen,
    one_dead,
    domain_cut_off,
    one_just_started,
};

constexpr std::array troubles = {
    trouble::none, trouble::one_frozen, trouble::one_dead,
    trouble::domain_cut_off, trouble::one_just_started};

/// A failure domain of `size` VMs beside another one.
class stopping_domain
{
public:
    stopping_domain(std::uint32_t size, std::uint64_t seed)
        : fleet(of_two_domains(size), seed)
    {
        this->fleet.start_all();
        this->fleet.run_for(10s);
        this->vms = this->fleet.pick_domain(0, size);
    }

    void begin(trouble wrong)
    {
        switch (wrong)
        {
        case trouble::none:
            return;
        case trouble::one_frozen:
            return this->fleet.freeze({this->vms.back()}, 8s);
        case trouble::one_dead:
            this->fleet.kill({this->vms.back()});
            return this->fleet.run_for(1s);
        case trouble::domain_cut_off:
            this->fleet.network().set_domain_cut(0, true);
            return this->fleet.run_for(2s);
        case trouble::one_just_started:
            this->fleet.restart({this->vms.back()}, 300ms);
            return this->fleet.run_for(500ms);
        }
    }

    /// Tells all to stop, one after the other, and notes for each how long it
    /// went on being ready, and how long it lived.
    void stop_all(duration gap)
    {
        for (std::uint32_t const vm : this->vms)
        {
            bool const can_hear = this->fleet.is_running(vm) &&
                                  this->fleet.thaws_at(vm) <= this->fleet.now();
            if (can_hear)
            {
                this->told[vm] = this->fleet.now();
                this->lives[vm] = this->fleet.life_of(vm);
                this->fleet.leave({vm});
            }
            this->watch_for(gap);
        }
        this->watch_for(kill_bound);
    }

    void watch_for(duration length)
    {
        constexpr duration look_period = 50ms;
        auto const until = this->fleet.now() + length;
        while (this->fleet.now() < until)
        {
            for (auto const& [vm, told_at] : this->told)
            {
                if (this->fleet.life_of(vm) != this->lives[vm])
                    continue;
                if (this->fleet.is_ready(vm))
                    this->ready_for[vm] = this->fleet.now() - told_at;
                if (this->fleet.is_running(vm))
                    this->alive_for[vm] = this->fleet.now() - told_at;
            }
            this->fleet.run_for(look_period);
        }
    }

    emulated_fleet fleet;
    std::vector<std::uint32_t> vms;
    std::map<std::uint32_t, time_point> told;
    std::map<std::uint32_t, std::uint32_t> lives;
    std::map<std::uint32_t, duration> ready_for;
    std::map<std::uint32_t, duration> alive_for;

private:
    static topology of_two_domains(std::uint32_t size)
    {
        topology shape;
        shape.vms = 2 * size;
        shape.failure_domains = 2;
        shape.regions = 1;
        shape.upstreams = 12;
        shape.addresses = 2;
        return shape;
    }
};

} // namespace

// Symptom: fabrics send callers to VMs four seconds after those were told to
// stop; the process is killed soon after, with callers on it.
// Sequence: a VM of a domain of three is frozen, or dead, and the others are
// told to stop 1.4 s apart.
// Cause: a VM that waits for its turn to leave answers that it is ready, and
// its turn comes only when others of its domain are back.
Test(stops, vms_that_were_told_to_stop_are_out_of_use_in_time)
{
    for (std::uint32_t const size : {1U, 2U, 3U, 5U})
    {
        for (duration const gap : {0ms, 700ms, 1400ms})
        {
            for (trouble const wrong : troubles)
            {
                stopping_domain domain(size, 7 * size + 1);
                domain.begin(wrong);
                domain.stop_all(gap);
                for (auto const& [vm, length] : domain.ready_for)
                    cr_expect_leq(
                        length + two_misses + lateness, out_of_use_bound,
                        "%u VMs, %ld ms apart, trouble %d: ready for %ld ms",
                        size, static_cast<long>(gap / 1ms),
                        static_cast<int>(wrong),
                        static_cast<long>(length / 1ms));
                for (auto const& [vm, length] : domain.alive_for)
                    cr_expect_lt(length, kill_bound - 200ms);
            }
        }
    }
}

// Symptom: callers' packets go to VMs that have ended, while the fabric uses
// all VMs of a domain.
// Sequence: of three VMs one is dead, and another is told to stop; the fabric
// finds one of three ready, and goes on using all.
// Cause: a VM that ends once it is out of use, as if it could be.
Test(stops, a_vm_that_callers_are_still_sent_to_passes_packets_till_its_end)
{
    stopping_domain domain(3, 5);
    domain.begin(trouble::one_dead);
    auto const stopped = domain.vms.front();
    domain.told[stopped] = domain.fleet.now();
    domain.lives[stopped] = domain.fleet.life_of(stopped);
    domain.fleet.leave({stopped});
    domain.watch_for(kill_bound);
    cr_expect_geq(domain.alive_for[stopped], 5s);
    cr_expect_lt(domain.alive_for[stopped], kill_bound - 200ms);
}
