#include <membership/membership.hpp>

#include <algorithm>
#include <bit>

namespace cairnhead
{

namespace
{

/// Each claim is sent this often times the binary logarithm of the fleet:
/// enough to reach every VM although the peers are chosen at random.
constexpr std::size_t transmissions_per_doubling = 3;

/// How often a probe is repeated, directly and through other helpers, between
/// its timeout and the end of its period.
constexpr int retries_per_probe = 2;

/// Bounds the search for a dead or unknown address, so that a period costs
/// the same in every fleet; the search goes on there next time.
constexpr std::size_t absent_candidates = 16;

std::size_t transmission_limit(std::size_t live_members)
{
    return transmissions_per_doubling *
           static_cast<std::size_t>(std::bit_width(live_members));
}

} // namespace

void membership::advance_probe(time_point now, effect_list& effects)
{
    if (!this->probe)
        return;
    // A pause shorter than the lease may hide an answer that waits in the
    // socket; so nobody is suspected before a retry had its time.
    bool const is_over =
        this->probe->retries > 0 && now >= this->probe->period_end;
    if (is_over)
    {
        outstanding_probe const failed = *this->probe;
        this->probe.reset();
        // A VM that is back says so; what was asked of its earlier life must
        // not have the others wait for it, seen as leaves that overlap.
        member const* const known = this->find(failed.target);
        if (known != nullptr && known->life == failed.life)
            this->suspect(now, failed.target, effects);
        return;
    }
    if (now >= this->probe->retry_deadline)
        this->retry_probe(now, effects);
}

void membership::retry_probe(time_point now, effect_list& effects)
{
    auto const left =
        this->settings.probe_period - this->settings.probe_timeout;
    time_point const next_retry = now + left / retries_per_probe;
    this->probe->retry_deadline = next_retry;
    if (this->probe->retries == 0)
        this->probe->period_end = std::max(this->probe->period_end, next_retry);
    ++this->probe->retries;
    // With one try only, a fifth of packets lost makes every fourteenth probe
    // fail. Suspicions then outnumber what the messages can carry, refutations
    // come too late and healthy VMs are declared dead.
    this->send_ping(this->probe->sequence, this->probe->target, effects);
    this->ask_helpers(effects);
}

void membership::ask_helpers(effect_list& effects)
{
    auto const helpers = this->rotation.sample(
        this->settings.indirect_probes, this->probe->target, this->table,
        this->random);
    for (vm_id const helper : helpers)
    {
        ping_request request{
            this->probe->sequence, this->probe->target,
            this->updates_for(helper)};
        effects.push_back(send_control{helper, std::move(request)});
    }
}

void membership::begin_probe(time_point now, effect_list& effects)
{
    if (this->probe || now < this->next_probe_at)
        return;
    time_point const period_end = now + this->settings.probe_period;
    this->next_probe_at = period_end;
    auto const target =
        this->rotation.next(this->table, this->self.id, this->random);
    if (!target)
        return;
    std::uint32_t const sequence = this->send_ping(*target, effects);
    this->probe = outstanding_probe{
        .sequence = sequence,
        .target = *target,
        .life = this->find(*target)->life,
        .retry_deadline = now + this->settings.probe_timeout,
        .period_end = period_end};
}

void membership::probe_contacts(effect_list& effects)
{
    while (auto const contact = this->contacts.take())
    {
        if (this->is_live_member(*contact))
            continue;
        // One a tick: a healed partition may bring hundreds.
        // FIXME: At 512 VMs this pace makes healing take tens of seconds, and
        // old claims of deaths still spread meanwhile.
        this->send_ping(*contact, effects);
        return;
    }
}

void membership::probe_absent(time_point now, effect_list& effects)
{
    if (now < this->next_absent_probe_at)
        return;
    this->next_absent_probe_at = now + this->settings.dead_probe_period;
    // Neither side of a healed partition probes the other as a live member.
    // Without these pings it would stay split, seen as two owners for one
    // flow. The seeds and hints serve when the dead have been forgotten.
    if (auto const gone = this->next_dead())
        this->send_ping(*gone, effects);
    if (auto const address = this->next_unknown_address())
        this->send_ping(*address, effects);
}

std::optional<vm_id> membership::next_dead()
{
    std::size_t const count = std::min(this->dead.size(), absent_candidates);
    for (std::size_t looked = 0; looked < count; ++looked)
    {
        this->next_dead_index = (this->next_dead_index + 1) % this->dead.size();
        member_deadline const entry = this->dead.at(this->next_dead_index);
        member const* known = this->find(entry.vm);
        if (known != nullptr && !is_live_status(known->status) &&
            known->status_deadline == entry.deadline)
            return entry.vm;
    }
    return std::nullopt;
}

std::optional<vm_id> membership::next_unknown_address()
{
    std::size_t const total = this->seeds.size() + this->hinted.size();
    std::size_t const count = std::min(total, absent_candidates);
    for (std::size_t looked = 0; looked < count; ++looked)
    {
        std::size_t const index = (this->next_address_index + 1) % total;
        this->next_address_index = index;
        vm_id const address = index < this->seeds.size()
                                  ? this->seeds[index]
                                  : this->hinted[index - this->seeds.size()];
        bool const is_known = this->find(address) != nullptr ||
                              this->seeds_abroad.contains(address);
        if (!is_known)
            return address;
    }
    return std::nullopt;
}

void membership::ask(vm_id vm, effect_list& effects)
{
    this->send_ping(vm, effects);
}

std::uint32_t membership::send_ping(vm_id target, effect_list& effects)
{
    std::uint32_t const sequence = this->next_sequence;
    ++this->next_sequence;
    this->send_ping(sequence, target, effects);
    return sequence;
}

void membership::send_ping(
    std::uint32_t sequence, vm_id target, effect_list& effects)
{
    ping message{sequence, this->documents_digest, this->updates_for(target)};
    effects.push_back(send_control{target, std::move(message)});
}

std::vector<member_update> membership::updates_for(vm_id recipient)
{
    std::vector<member_update> claims{make_claim(this->own())};
    // The accused must hear of it, or it cannot refute.
    member const* known = this->find(recipient);
    if (known != nullptr && !is_reachable_status(known->status))
        claims.push_back(make_claim(*known));
    std::size_t const bound = this->settings.updates_per_message;
    std::size_t const room = bound > claims.size() ? bound - claims.size() : 0;
    this->updates.take(
        room, transmission_limit(this->table.live_count()), claims);
    if (this->abroad.domain_of(recipient))
        this->add_introductions(claims);
    return claims;
}

} // namespace cairnhead
