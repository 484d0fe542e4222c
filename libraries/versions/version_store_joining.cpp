#include <versions/version_store.hpp>

#include <algorithm>
#include <utility>

/// How a VM that has just started gets its documents, and how other VMs help
/// it.
namespace cairnhead
{

void version_store::start(time_point now, bool is_seed, effect_list& effects)
{
    this->join.begin(now, is_seed, this->random);
    this->join_due_at = now;
    this->tick(now, effects);
}

std::optional<time_point> version_store::next_due() const
{
    if (!this->join_due_at || !this->documents.empty())
        return std::nullopt;
    return this->join_due_at;
}

void version_store::advance(time_point now, effect_list& effects)
{
    if (this->next_due() && now >= *this->join_due_at)
        this->tick(now, effects);
}

void version_store::send_join_requests(time_point now, effect_list& effects)
{
    if (this->has_peer_answered || this->peers.empty())
        return;
    if (!this->join.take_due(now))
        return;
    std::vector<document_peer> chosen_peers;
    std::ranges::sample(
        this->peers, std::back_inserter(chosen_peers),
        this->join.peers_to_ask(), this->random);
    for (auto const& peer : chosen_peers)
        this->send_join_request(peer.id, this->join.request(), effects);
}

void version_store::start_upstreams_read(time_point now, effect_list& effects)
{
    bool const is_alone = !this->has_peer_answered && this->documents.empty();
    if (is_alone && this->join.take_upstreams_read(now))
        effects.push_back(read_upstreams{});
}

void version_store::send_join_request(
    vm_id peer, join_request const& request, effect_list& effects) const
{
    join_request message = request;
    message.has_documents = !this->documents.empty();
    effects.push_back(send_control{peer, message});
}

void version_store::serve_joiners(time_point now, effect_list& effects)
{
    // A joiner would take an incomplete set of documents for the complete one.
    if (this->documents.empty() || this->fetches.is_blocking())
        return;
    for (vm_id const joiner : this->joiners.take_due(now))
        this->send_listing(joiner, listing_kind::answer, effects);
}

void version_store::receive(
    time_point now,
    vm_id sender,
    join_request const& message,
    effect_list& effects)
{
    this->ensure_deadlines(now);
    if (message.has_documents)
    {
        this->joiners.record_holder(now, sender, message.domain);
        if (!this->documents.empty())
            this->send_listing(sender, listing_kind::answer, effects);
        return;
    }
    auto referral = this->joiners.ask(
        now, sender, message, {this->peers, !this->documents.empty()});
    // A joiner that is queued at this VM gets an empty referral, unless it is
    // served at once.
    if (!referral && this->documents.empty())
        referral = join_referral{};
    if (referral)
        effects.push_back(send_control{sender, std::move(*referral)});
    this->serve_joiners(now, effects);
}

void version_store::receive(
    time_point now, vm_id, join_referral const& message, effect_list& effects)
{
    this->ensure_deadlines(now);
    if (this->has_peer_answered)
        return;
    join_request request = this->join.request();
    request.is_referred = true;
    for (vm_id const holder : this->join.follow(now, message, this->random))
        this->send_join_request(holder, request, effects);
    this->tick(now, effects);
}

} // namespace cairnhead
