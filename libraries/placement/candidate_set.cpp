#include <placement/candidate_set.hpp>

#include <algorithm>

namespace cairnhead
{

candidate_shortlist
first_choices(std::span<candidate const> candidates, std::size_t count)
{
    candidate_shortlist result;
    auto const rank_of = [](candidate const* one)
    {
        return one->rank;
    };
    for (auto const& one : candidates)
    {
        auto const is_full = result.size() == count;
        if (is_full && one.rank >= result.back()->rank)
        {
            continue;
        }
        if (is_full)
        {
            result.pop_back();
        }
        auto const position =
            std::ranges::upper_bound(result, one.rank, {}, rank_of);
        result.insert(position, &one);
    }
    return result;
}

} // namespace cairnhead
