#include <versions/join_queue.hpp>

#include <algorithm>

namespace cairnhead
{

namespace
{

/// How many joiners a VM serves in a period; each takes a connection and the
/// registry.
constexpr std::size_t turns_per_period = 4;
constexpr duration period = std::chrono::milliseconds(100);

/// Bounds the queue so that a queued joiner is served within two periods once
/// this VM has the documents.
constexpr std::size_t maximum_queue_length = 2 * turns_per_period;

/// How many VMs a referral names: if one of them has stopped, the joiner loses
/// no time.
constexpr std::size_t holders_per_referral = 2;

/// How long a request or an announcement is remembered: VMs that start together
/// ask within a second, and ask again if that failed.
constexpr duration arrival_memory = std::chrono::seconds(3);

/// Bounds what a flood of requests can make this VM remember.
constexpr std::size_t maximum_arrivals = 4'096;

/// Bounds how many holders of a domain are remembered; each joiner of the
/// domain is referred to two of them.
constexpr std::size_t maximum_holders = 16;

} // namespace

join_queue::join_queue(
    version_settings const& settings,
    vm_identity const& own,
    std::uint64_t random_seed)
    : fanout(settings.relay_fanout), self(own), random(random_seed)
{
}

std::optional<join_referral> join_queue::ask(
    time_point now,
    vm_id joiner,
    join_request const& request,
    local_state const& local)
{
    arrivals const& domain_arrivals = record_arrival(
        now, joiner, this->recent_joiners[request.domain], maximum_arrivals);
    // A joiner that was referred to this VM is served here; otherwise it would
    // be referred from VM to VM. So is a joiner that asks again: the VMs that
    // it was referred to may have stopped.
    bool const is_retry = request.attempt > 0 && local.has_documents;
    if (request.is_referred || is_retry)
    {
        if (!this->has_room_for(joiner))
            return this->refer_to_queued(joiner);
        this->enqueue(joiner);
        return std::nullopt;
    }
    if (auto referral = this->refer_to_members(joiner, request.domain, local))
        return referral;
    if (auto referral = this->refer_to_holders(now, joiner, request.domain))
        return referral;
    return this->refer_by_arrival(
        joiner, request, domain_arrivals, local.has_documents);
}

join_queue::arrivals& join_queue::record_arrival(
    time_point now, vm_id vm, arrivals& recorded, std::size_t limit)
{
    std::erase_if(
        recorded,
        [now](arrival const& each)
        {
            return now > each.asked_at + arrival_memory;
        });
    auto const found = std::ranges::find(recorded, vm, &arrival::vm);
    if (found == recorded.end() && recorded.size() < limit)
        recorded.push_back({vm, now});
    return recorded;
}

void join_queue::record_holder(
    time_point now, vm_id holder, failure_domain_id domain)
{
    record_arrival(now, holder, this->holders[domain], maximum_holders);
}

bool join_queue::has_room_for(vm_id joiner) const
{
    bool const is_queued =
        std::ranges::find(this->queue, joiner) != this->queue.end();
    return is_queued || this->queue.size() < maximum_queue_length;
}

void join_queue::enqueue(vm_id joiner)
{
    if (std::ranges::find(this->queue, joiner) == this->queue.end())
        this->queue.push_back(joiner);
}

std::optional<join_referral> join_queue::refer_to_queued(vm_id joiner)
{
    // The queued joiners are named in turn, so that each receives as many
    // referred joiners.
    join_referral referral;
    for (std::size_t named = 0; named < holders_per_referral; ++named)
    {
        vm_id const holder =
            this->queue[this->next_queued++ % this->queue.size()];
        if (holder != joiner)
            referral.holders.push_back(holder);
    }
    return referral;
}

std::optional<join_referral> join_queue::refer_to_members(
    vm_id joiner, failure_domain_id domain, local_state const& local)
{
    std::vector<vm_id> members;
    for (document_peer const& peer : local.peers)
    {
        if (peer.domain == domain && peer.id != joiner)
            members.push_back(peer.id);
    }
    if (members.empty())
        return std::nullopt;
    return join_referral{this->sample(std::move(members)), false};
}

std::optional<join_referral> join_queue::refer_to_holders(
    time_point now, vm_id joiner, failure_domain_id domain)
{
    join_referral referral;
    arrivals const& domain_holders = this->holders[domain];
    for (std::size_t named = 0;
         named < holders_per_referral && !domain_holders.empty(); ++named)
    {
        // The holders are named in turn, so that each receives as many joiners.
        arrival const& holder =
            domain_holders[this->next_holder++ % domain_holders.size()];
        bool const is_recent = now <= holder.asked_at + arrival_memory;
        if (is_recent && holder.vm != joiner)
            referral.holders.push_back(holder.vm);
    }
    if (referral.holders.empty())
        return std::nullopt;
    return referral;
}

std::optional<join_referral> join_queue::refer_by_arrival(
    vm_id joiner,
    join_request const& request,
    arrivals const& domain_arrivals,
    bool has_documents)
{
    auto const found = std::ranges::find(domain_arrivals, joiner, &arrival::vm);
    auto const place =
        static_cast<std::size_t>(found - domain_arrivals.begin());
    // The VMs that the joiner was referred to did not serve it; others may.
    if (request.attempt > 0 && domain_arrivals.size() > 1)
    {
        std::vector<vm_id> others;
        for (arrival const& other : domain_arrivals)
        {
            if (other.vm != joiner)
                others.push_back(other.vm);
        }
        return join_referral{this->sample(std::move(others)), false};
    }
    // In its own failure domain this VM is the root of the tree. In another
    // domain the first joiner is the root, and receives the documents from this
    // VM or from the platform.
    bool const is_root_here = request.domain == this->self.domain;
    std::size_t const roots = is_root_here ? this->fanout : 1;
    if (place < roots)
    {
        this->enqueue(joiner);
        bool const is_to_read = !is_root_here && !has_documents;
        return is_to_read ? std::optional(join_referral{{}, true})
                          : std::nullopt;
    }
    std::size_t const parent = (place - roots) / this->fanout;
    return join_referral{{domain_arrivals[parent].vm}, false};
}

std::vector<vm_id> join_queue::sample(std::vector<vm_id> candidates)
{
    std::vector<vm_id> chosen;
    std::ranges::sample(
        candidates, std::back_inserter(chosen), holders_per_referral,
        this->random);
    return chosen;
}

std::vector<vm_id> join_queue::take_due(time_point now)
{
    if (now >= this->next_period_at)
    {
        this->next_period_at = now + period;
        this->remaining_turns = turns_per_period;
    }
    std::vector<vm_id> due;
    for (; this->remaining_turns > 0 && !this->queue.empty();
         --this->remaining_turns)
    {
        due.push_back(this->queue.front());
        this->queue.pop_front();
    }
    return due;
}

} // namespace cairnhead
