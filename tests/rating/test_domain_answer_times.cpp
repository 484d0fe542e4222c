#include <rating/domain_answer_times.hpp>

#include <criterion/criterion.h>

using namespace cairnhead;
using namespace std::chrono_literals;

namespace
{

constexpr failure_domain_id own(1);
constexpr failure_domain_id other(2);
constexpr duration usual = 50ms;

struct seen_pool
{
    domain_answer_times times;
    time_point now{1h};

    /// Records answers of two routes, one usually twice as quick, every 20 ms.
    void record(failure_domain_id domain, int count, int factor)
    {
        for (int each = 0; each < count; ++each)
        {
            this->now += 20ms;
            duration const of_route = each % 2 == 0 ? usual : usual / 2;
            this->times.record(
                this->now, "main", domain, factor * of_route, of_route);
        }
    }

    [[nodiscard]] std::optional<domain_answer_time>
    find(failure_domain_id domain) const
    {
        return this->times.find(this->now, "main", domain);
    }
};

} // namespace

// Load pattern: answers of the own domain take three times as long from one
// moment on. Spill has to see it within some 200 ms.
Test(domain_answer_times, longer_answers_show_within_the_window)
{
    seen_pool pool;
    pool.record(own, 50, 1);
    cr_expect_float_eq(pool.find(own)->relative, 1, .001);
    pool.record(own, 10, 3);
    cr_expect_gt(pool.find(own)->relative, 2);
    pool.record(own, 20, 3);
    cr_expect_float_eq(pool.find(own)->relative, 3, .1);
    cr_expect_gt(pool.find(own)->excess, usual);
    cr_expect(pool.find(own)->quickest == usual / 2);
}

// Guards against another domain's time becoming unknown between the few
// answers that a small share of openings brings.
Test(domain_answer_times, the_mean_remains_until_it_is_too_old)
{
    seen_pool pool;
    pool.record(other, 20, 2);
    time_point const latest = pool.now;
    pool.now += 20s;
    pool.times.expire(pool.now);
    auto const seen = pool.find(other);
    cr_assert(seen.has_value());
    cr_expect_float_eq(seen->relative, 2, .001);
    cr_expect(seen->latest_at == latest);
    cr_expect_lt(seen->weight, .01);
    pool.now += 10s;
    cr_expect(!pool.find(other));
    cr_expect(!pool.find(own));
}

// Guards against an earlier, shorter way between domains being kept for good.
Test(domain_answer_times, the_quickest_answer_is_forgotten)
{
    seen_pool pool;
    pool.record(other, 2, 1);
    pool.record(other, 1'100, 3);
    cr_expect(pool.find(other)->quickest == 3 * usual / 2);
}
