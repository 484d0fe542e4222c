#include <admission/admission.hpp>

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace cairnhead;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

namespace
{

constexpr time_point start{std::chrono::hours(1)};

service make_service(
    std::uint32_t organisation, std::uint32_t rate, std::uint32_t flows)
{
    service result;
    result.id = service_id(organisation * 10);
    result.organisation = organisation_id(organisation);
    result.limits = {.openings_per_second = rate, .flows = flows};
    return result;
}

std::uint32_t
count_admitted(admission& subject, time_point now, service const& service)
{
    std::uint32_t result = 0;
    for (std::uint32_t tries = 0; tries < 1000; ++tries)
    {
        result += subject.admit(now, service, 0) ? 0 : 1;
    }
    return result;
}

/// Adds pins while admitted, up to a bound; returns how many.
std::uint32_t fill(
    admission& subject,
    service const& service,
    std::uint32_t& pins,
    std::uint32_t most)
{
    std::uint32_t result = 0;
    while (result < most && !subject.admit(start, service, pins))
    {
        subject.pin_added(service);
        pins += 1;
        result += 1;
    }
    return result;
}

} // namespace

Test(admission, each_vm_enforces_its_share_rounded_up)
{
    struct row
    {
        std::uint32_t vms;
        std::uint32_t rate;
        std::uint32_t admitted;
    };
    row const rows[] = {{1, 100, 100}, {4, 100, 25}, {8, 100, 13},
                        {8, 1, 1},     {0, 7, 7},    {3, 0, 1000}};
    for (auto const& each : rows)
    {
        admission subject(admission_settings{}, 1000);
        subject.set_vm_count(each.vms);
        auto const service = make_service(1, each.rate, 0);
        cr_expect_eq(count_admitted(subject, start, service), each.admitted);
    }
}

Test(admission, refuses_with_the_reason_that_holds)
{
    struct row
    {
        std::uint32_t own_pins;
        std::uint32_t pins;
        std::uint32_t flow_limit;
        std::optional<refusal_reason> reason;
    };
    row const rows[] = {
        {0, 999, 0, std::nullopt},
        {0, 1000, 0, refusal_reason::table_full},
        {599, 599, 0, std::nullopt},
        {600, 600, 0, refusal_reason::organisation_limit},
        {49, 49, 50, std::nullopt},
        {50, 50, 50, refusal_reason::flow_limit},
    };
    for (auto const& each : rows)
    {
        admission subject(admission_settings{}, 1000);
        auto const service = make_service(1, 0, each.flow_limit);
        for (std::uint32_t pin = 0; pin < each.own_pins; ++pin)
        {
            subject.pin_added(service);
        }
        auto const refusal = subject.admit(start, service, each.pins);
        cr_expect_eq(refusal.has_value(), each.reason.has_value());
        if (refusal)
        {
            cr_expect_eq(refusal->reason, *each.reason);
            cr_expect_geq(refusal->retry_at, start + 1s);
            cr_expect_leq(refusal->retry_at, start + 60s);
        }
    }
}

Test(admission, a_flow_counts_on_its_owner_and_its_backup)
{
    admission subject(admission_settings{}, 10'000);
    subject.set_vm_count(4);
    std::uint32_t pins = 0;
    // 100 flows are 200 pins in the fleet, 50 on each of four VMs.
    cr_assert_eq(fill(subject, make_service(1, 0, 100), pins, 1000), 50U);
}

Test(admission, floods_of_two_organisations_leave_a_third_room)
{
    // Symptom: an organisation is refused though it has no flows.
    // Sequence: two others open flows without end.
    // Cause: each stays below a fixed cap of 60 %, together they fill all.
    admission subject(admission_settings{}, 10'000);
    std::uint32_t pins = 0;
    cr_assert_eq(fill(subject, make_service(1, 0, 0), pins, 10'000), 6000U);
    fill(subject, make_service(2, 0, 0), pins, 10'000);
    auto const third = fill(subject, make_service(3, 0, 0), pins, 10'000);
    cr_assert_geq(third, 900U);
    cr_assert_lt(pins, 10'000U);
}

Test(admission, refused_callers_are_told_successive_times)
{
    // Symptom: a burst of refused callers returns as the same burst.
    // Sequence: all are refused within one moment and told when to return.
    // Cause: all are told the same moment.
    admission subject(admission_settings{}, 1000);
    auto const service = make_service(1, 10, 0);
    cr_assert_eq(count_admitted(subject, start, service), 10U);
    auto const first = subject.admit(start, service, 0)->retry_at;
    auto const second = subject.admit(start, service, 0)->retry_at;
    cr_assert_eq(second, std::min(first + 100ms, start + 60s));
}

Test(admission, flow_limit_retry_follows_departures)
{
    admission subject(admission_settings{}, 1000);
    auto const service = make_service(1, 0, 1);
    subject.pin_added(service);
    cr_assert(subject.admit(start, service, 1));
    auto const later = start + 30s;
    cr_assert_geq(subject.admit(later, service, 1)->retry_at, later + 30s);
    subject.pin_removed(service.id, service.organisation);
    cr_assert(!subject.admit(later, service, 0));
    subject.pin_removed(service.id, service.organisation);
    cr_assert(!subject.admit(later, service, 0), "no underflow");
}

Test(admission, repeats_have_a_budget_only_at_the_limit)
{
    admission subject(admission_settings{}, 1000);
    auto const service = make_service(1, 100, 0);
    cr_assert(subject.may_repeat(start, service));
    cr_assert_eq(count_admitted(subject, start, service), 100U);
    std::uint32_t repeats = 0;
    for (std::uint32_t tries = 0; tries < 100; ++tries)
    {
        repeats += subject.may_repeat(start, service) ? 1 : 0;
    }
    cr_assert_eq(repeats, 20U);
    cr_assert(subject.may_repeat(start + 250ms, service), "the floor");
    auto const unlimited = make_service(2, 0, 0);
    for (std::uint32_t tries = 0; tries < 100; ++tries)
    {
        cr_assert(subject.may_repeat(start, unlimited));
    }
}

Test(admission, rate_holds_and_told_times_are_true)
{
    rc::detail::TestParams parameters;
    parameters.seed = 4711;
    rc::detail::TestMetadata metadata;
    metadata.id = "rate";
    auto const property = [](std::vector<std::uint16_t> const& gaps)
    {
        admission subject(admission_settings{}, 1000);
        auto const service = make_service(1, 20, 0);
        auto now = start;
        std::uint32_t admitted = 0;
        for (auto const gap : gaps)
        {
            now += std::chrono::milliseconds(gap % 100);
            admitted += subject.admit(now, service, 0) ? 0 : 1;
        }
        std::chrono::duration<double> const passed = now - start;
        RC_ASSERT(admitted <= 20 + 20 * passed.count() + 1);
        auto const refusal = subject.admit(now, service, 0);
        RC_ASSERT(!refusal || !subject.admit(refusal->retry_at, service, 0));
    };
    auto const result =
        rc::detail::checkTestable(property, metadata, parameters);
    cr_assert(result.is<rc::detail::SuccessResult>());
}
