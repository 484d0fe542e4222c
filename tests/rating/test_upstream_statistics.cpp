#include <rating/upstream_statistics.hpp>

#include <criterion/criterion.h>

using namespace cairnhead;
using namespace std::chrono_literals;

namespace
{

constexpr upstream_tag known_tag(7);
constexpr std::uint32_t slots = 2;

struct rated_upstream
{
    upstream_statistics statistics{known_tag};
    time_point now{1h};

    /// Adds as many observations, each a tenth of a second.
    void
    add(int count,
        request_outcome outcome,
        std::uint16_t relative,
        std::uint32_t milliseconds)
    {
        for (int each = 0; each < count; ++each)
        {
            this->now += 100ms;
            this->statistics.add(
                this->now, {known_tag, outcome, relative, milliseconds}, slots);
        }
    }

    [[nodiscard]] upstream_rating rating() const
    {
        return this->statistics.rating(this->now);
    }
};

} // namespace

Test(upstream_statistics, a_slow_upstream_is_rated_within_a_second)
{
    rated_upstream rated;
    rated.add(20, request_outcome::answered, 1'000, 50);
    cr_expect_eq(rated.rating().relative_permille, 1'000);
    rated.add(15, request_outcome::answered, 5'000, 250);
    cr_expect_gt(rated.rating().relative_permille, 3'000);
    cr_expect(rated.rating().expires_at == rated.now + rating_lifetime);
}

// Guards against one lost packet, which delays a request by 200 ms, making an
// upstream slow whose requests take 15 ms.
Test(upstream_statistics, a_single_late_answer_does_not_make_it_slow)
{
    rated_upstream rated;
    rated.add(10, request_outcome::answered, 1'000, 15);
    rated.add(1, request_outcome::answered, 14'000, 215);
    cr_expect_lt(rated.rating().relative_permille, 1'500);
}

// Guards against an upstream that refuses at once being rated as fast.
Test(upstream_statistics, short_answers_do_not_make_it_fast)
{
    rated_upstream rated;
    rated.add(20, request_outcome::answered, 1'000, 50);
    rated.add(40, request_outcome::short_answer, 20, 1);
    cr_expect_eq(rated.rating().relative_permille, 1'000);
    cr_expect_gt(rated.rating().short_permille, 800);
}

// Guards against counting as work in hand only requests whose time is known:
// on long flows most are not.
Test(upstream_statistics, work_in_hand_is_rate_times_mean_time)
{
    rated_upstream rated;
    for (int each = 0; each < 50; ++each)
    {
        rated.add(1, request_outcome::answered, 1'000, 100);
        rated.add(1, request_outcome::answered, 0, 0);
    }
    // Ten requests a second of .1 s keep one of two slots busy.
    cr_expect_float_eq(rated.rating().work_permille, 500, 50);
}

Test(upstream_statistics, requests_without_an_answer_count_as_slow)
{
    rated_upstream rated;
    rated.add(20, request_outcome::answered, 1'000, 50);
    rated.add(10, request_outcome::unanswered, 4'000, 200);
    cr_expect_gt(rated.rating().relative_permille, 2'000);
    cr_expect_gt(rated.rating().work_permille, 500);
}

Test(upstream_statistics, few_or_old_observations_are_rated_as_usual)
{
    rated_upstream rated;
    rated.add(1, request_outcome::answered, 9'000, 450);
    cr_expect_eq(rated.rating().relative_permille, 1'000);
    rated.add(20, request_outcome::answered, 9'000, 450);
    rated.now += 10s;
    auto const old = rated.rating();
    cr_expect_eq(old.relative_permille, 1'000);
    cr_expect_eq(old.work_permille, 0);
    cr_expect(rated.statistics.is_idle(rated.now + 10s));
}
