#include <tagging/tag_router.hpp>

#include <algorithm>

/// Openings that several upstreams got. Each of these puts the latest tag that
/// it received for the flow into its answers. So a copy of the opening with the
/// tag of the confirmed upstream makes all of them answer with the right tag,
/// and no VM has to remember the flow.
namespace cairnhead
{

namespace
{

using std::chrono_literals::operator""ms;

/// An upstream answers a correction sooner.
constexpr duration correction_interval = 100ms;

/// A flow counts as lost when three of its packets in a row go to other
/// upstreams than its own.
constexpr std::size_t corrections_at_once = 2;

} // namespace

void tag_router::record_further_offer(
    time_point now, opening_offer const& offer, effect_list& effects)
{
    this->contested.record(now, offer);
    tagged_upstream const* const earlier =
        this->upstream_table.find(offer.earlier);
    bool const may_tell =
        earlier != nullptr && offer.earlier != offer.latest &&
        this->upstream_table.may_repeat_opening(now, *earlier);
    if (may_tell)
        send_copy_of_opening(
            offer.bytes, *earlier,
            this->upstream_table.opening_tag_of(
                *earlier, offer.sequence, offer_standing::superseded),
            effects);
}

void tag_router::send_copy_of_opening(
    std::span<std::uint8_t const> bytes,
    tagged_upstream const& upstream,
    upstream_tag tag,
    effect_list& effects)
{
    registered_upstream const& at = upstream.registered;
    effects.emplace_back(send_copy{
        {bytes.begin(), bytes.end()}, {at.address, at.port, at.instance}, tag});
}

void tag_router::settle_opening(
    time_point now, flow_id flow, upstream_tag confirmed, effect_list& effects)
{
    contested_opening* const opening = this->contested.find(flow);
    if (opening == nullptr || opening->confirmed != upstream_tag())
        return;
    opening->confirmed = confirmed;
    this->correct_tags(now, *opening, effects);
}

void tag_router::correct_tag_of(
    time_point now,
    packet_arrived const& packet,
    tagged_upstream const& upstream,
    effect_list& effects)
{
    contested_opening* const opening = this->contested.find(packet.flow);
    if (opening == nullptr)
        return;
    if (opening->confirmed == upstream_tag())
        opening->confirmed = upstream.tag;
    bool const is_tag_wrong =
        *packet.tag != upstream.tag && now >= opening->next_correction_at;
    bool const is_due = opening->corrections_left > 0 || is_tag_wrong;
    if (opening->confirmed == upstream.tag && is_due)
        this->correct_tags(now, *opening, effects);
}

void tag_router::correct_tags(
    time_point now, contested_opening& opening, effect_list& effects)
{
    if (opening.corrections_left > 0)
        --opening.corrections_left;
    opening.next_correction_at = now + correction_interval;
    std::size_t corrected = 0;
    std::vector<upstream_tag> const offered_to = opening.offered_to;
    for (upstream_tag const tag : offered_to)
    {
        tagged_upstream const* const other = this->upstream_table.find(tag);
        bool const may_correct =
            tag != opening.confirmed && other != nullptr &&
            this->upstream_table.may_repeat_opening(now, *other);
        if (!may_correct)
            continue;
        if (corrected++ == corrections_at_once)
            break;
        auto const turn = std::ranges::find(opening.offered_to, tag);
        std::rotate(turn, turn + 1, opening.offered_to.end());
        send_copy_of_opening(opening.bytes, *other, opening.confirmed, effects);
        effects.emplace_back(this->make_decision(
            flow_step::tag_corrected, flow_rule::opening_unanswered,
            opening.flow, {opening.caller, opening.destination}, other));
    }
}

} // namespace cairnhead
