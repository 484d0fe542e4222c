#include <tagging/slow_start_limiter.hpp>

#include <base/hash.hpp>

#include <algorithm>
#include <cmath>

namespace cairnhead
{

namespace
{

using std::chrono_literals::operator""s;

constexpr duration window = 1s;

/// Largest number of different views of the members that VMs have at one time.
constexpr std::uint32_t concurrent_views = 2;

} // namespace

cold_limit
make_cold_limit(double openings_per_second, double overrun, double slack)
{
    auto const total = static_cast<std::uint32_t>(
        std::floor(openings_per_second * overrun + slack));
    return {total, total / concurrent_views};
}

bool slow_start_limiter::may_open(time_point now, std::uint32_t limit) const
{
    auto const recent = std::ranges::count_if(
        this->opened_at,
        [now](time_point opened)
        {
            return now < opened + window;
        });
    return static_cast<std::size_t>(recent) < limit;
}

void slow_start_limiter::record_opening(time_point now)
{
    while (!this->opened_at.empty() && now >= this->opened_at.front() + window)
        this->opened_at.pop_front();
    this->opened_at.push_back(now);
}

void appointed_opener::set_vms(vm_id own, std::span<vm_id const> alive)
{
    this->self = own;
    this->vms.assign(alive.begin(), alive.end());
}

bool appointed_opener::is_appointed(instance_number upstream) const
{
    if (this->vms.empty())
        return false;
    auto const rank_of = [upstream](vm_id vm)
    {
        return hash_pair(upstream.value(), vm.value());
    };
    return *std::ranges::max_element(this->vms, {}, rank_of) == this->self;
}

} // namespace cairnhead
