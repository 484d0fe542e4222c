#include <placement/prediction_history.hpp>

#include <algorithm>
#include <span>
#include <utility>

namespace cairnhead
{

void prediction_history::add(std::vector<weighted_upstream> set)
{
    auto const existing = std::ranges::find(this->sets, set);
    if (existing != this->sets.end())
    {
        std::rotate(this->sets.begin(), existing, existing + 1);
        return;
    }
    this->sets.insert(this->sets.begin(), std::move(set));
    if (this->sets.size() > retained_sets)
    {
        this->sets.pop_back();
    }
}

std::optional<upstream_id> prediction_history::predict(flow_id flow) const
{
    if (this->sets.empty())
    {
        return std::nullopt;
    }
    auto const newest = first_choice(flow, this->sets.front());
    if (!newest || !this->do_older_sets_choose(flow, *newest))
    {
        return std::nullopt;
    }
    return newest;
}

bool prediction_history::do_older_sets_choose(
    flow_id flow, upstream_id upstream) const
{
    if (this->sets.empty())
    {
        return true;
    }
    for (auto const& set : std::span(this->sets).subspan(1))
    {
        if (first_choice(flow, set) != upstream)
        {
            return false;
        }
    }
    return true;
}

} // namespace cairnhead
