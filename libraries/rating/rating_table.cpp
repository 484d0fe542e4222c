#include <rating/rating_table.hpp>

#include <algorithm>

namespace cairnhead
{

std::optional<upstream_rating>
rating_table::find(time_point now, upstream_tag upstream) const
{
    auto const found = this->ratings.find(upstream);
    if (found == this->ratings.end() || found->second.expires_at <= now)
        return std::nullopt;
    return found->second;
}

void rating_table::apply(time_point now, upstream_rating const& rating)
{
    if (rating.expires_at <= now)
        return this->remove(rating.upstream);
    this->ratings.insert_or_assign(rating.upstream, rating);
}

void rating_table::remove(upstream_tag upstream)
{
    this->ratings.erase(upstream);
}

void rating_table::expire(time_point now)
{
    absl::erase_if(
        this->ratings,
        [now](auto const& entry)
        {
            return entry.second.expires_at <= now;
        });
}

std::size_t rating_table::count_in_force(time_point now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->ratings,
        [now](auto const& entry)
        {
            return now < entry.second.expires_at;
        }));
}

std::size_t rating_table::size() const
{
    return this->ratings.size();
}

} // namespace cairnhead
