#include <tagging/contested_openings.hpp>

#include <algorithm>

namespace cairnhead
{

namespace
{

using std::chrono_literals::operator""s;

/// An upstream repeats its answer to an opening for up to 11 s.
constexpr duration answer_lifetime = 12s;

constexpr std::uint32_t unconditional_corrections = 2;

/// Less than a megabyte: an opening without data has a header alone.
constexpr std::size_t maximum_openings = 4'096;

void add_once(std::vector<upstream_tag>& tags, upstream_tag added)
{
    bool const is_new = std::ranges::find(tags, added) == tags.end();
    if (added != upstream_tag() && is_new)
        tags.push_back(added);
}

} // namespace

void contested_openings::record(time_point now, opening_offer const& offer)
{
    bool const has_room = this->openings.size() < maximum_openings ||
                          this->openings.contains(offer.flow);
    if (!has_room)
        return;
    contested_opening& opening = this->openings[offer.flow];
    opening.flow = offer.flow;
    opening.caller = offer.caller;
    opening.destination = offer.destination;
    opening.bytes.assign(offer.bytes.begin(), offer.bytes.end());
    add_once(opening.offered_to, offer.earlier);
    add_once(opening.offered_to, offer.latest);
    opening.confirmed = {};
    opening.corrections_left = unconditional_corrections;
    opening.expires_at = now + answer_lifetime;
}

contested_opening* contested_openings::find(flow_id flow)
{
    auto const found = this->openings.find(flow);
    return found == this->openings.end() ? nullptr : &found->second;
}

void contested_openings::remove(flow_id flow)
{
    this->openings.erase(flow);
}

void contested_openings::expire(time_point now)
{
    absl::erase_if(
        this->openings,
        [now](auto const& entry)
        {
            return entry.second.expires_at <= now;
        });
}

std::size_t contested_openings::size() const
{
    return this->openings.size();
}

} // namespace cairnhead
