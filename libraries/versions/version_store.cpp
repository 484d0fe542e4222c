#include <versions/version_store.hpp>

#include <versions/document_name.hpp>
#include <versions/listing_parts.hpp>
#include <versions/peer_selection.hpp>

#include <algorithm>
#include <span>
#include <utility>

namespace cairnhead
{

namespace
{

/// Every ping carries a digest; two VMs whose digests differ for longer (a
/// document that cannot be read, a slow fetch) would send listings with each
/// ping.
constexpr duration listing_request_period = 2s;

/// While a change propagates, digests differ for a moment. Only a document that
/// is missing for longer was lost and is requested.
constexpr duration propagation_time = 400ms;

} // namespace

version_store::version_store(
    version_settings const& chosen,
    vm_identity const& own,
    std::uint64_t random_seed)
    : settings(chosen), self(own), random(random_seed), fetches(chosen),
      watch(chosen), election(chosen, own), join(own),
      joiners(chosen, own, random_seed + 1),
      in_force(std::make_shared<directory const>())
{
}

void version_store::ensure_deadlines(time_point now)
{
    if (this->join_deadline)
        return;
    this->join_deadline = now + this->settings.join_timeout;
    this->progress_deadline = now + this->settings.join_timeout;
}

void version_store::set_peers(
    time_point now, std::span<document_peer const> reachable)
{
    this->ensure_deadlines(now);
    this->peers.assign(reachable.begin(), reachable.end());
    this->election.set_peers(now, reachable);
    std::erase_if(
        this->peers,
        [this](document_peer const& peer)
        {
            return peer.id == this->self.id;
        });
    this->fetches.keep_peers(this->peers);
    absl::erase_if(
        this->next_listing_requests,
        [this](auto const& entry)
        {
            auto const found =
                std::ranges::find(this->peers, entry.first, &document_peer::id);
            return found == this->peers.end();
        });
    this->update_access(now);
}

void version_store::tick(time_point now, effect_list& effects)
{
    this->ensure_deadlines(now);
    this->compile();
    this->announce(effects);
    this->update_access(now);
    this->report_reader_role(now, effects);
    // A joiner without documents reads only when a join referral tells it to.
    auto const attempt =
        this->documents.empty() ? std::nullopt : this->election.take_turn(now);
    if (attempt)
    {
        this->watch.restart(now);
        for (vm_id const listener : attempt->announced_to)
            effects.push_back(send_control{listener, reading_attempt{}});
    }
    this->start_upstreams_read(now, effects);
    auto const first = static_cast<std::ptrdiff_t>(effects.size());
    this->watch.tick(now, this->access, this->random, effects);
    for (effect& started : std::span(effects).subspan(first))
    {
        if (auto* const started_watch = std::get_if<watch_platform>(&started))
            started_watch->known = this->make_snapshot();
    }
    this->send_join_requests(now, effects);
    this->serve_joiners(now, effects);
    this->start_fetches(now, effects);
    // Ticks are too far apart for a VM whose callers wait for it to join.
    if (this->join_due_at)
        this->join_due_at = this->join.next_due(now);
}

void version_store::send_listing(
    vm_id peer, listing_kind kind, effect_list& effects) const
{
    auto parts = split_listing(kind, this->documents.stamps());
    if (parts.size() == 1)
        parts.front().complete_up_to = this->complete_up_to;
    for (auto& part : parts)
        effects.push_back(send_control{peer, std::move(part)});
}

document_version
version_store::highest_known_version(std::string_view name) const
{
    auto const wanted_version = this->fetches.wanted_version(name);
    return std::max(
        this->documents.held_version(name),
        wanted_version.value_or(document_version{}));
}

bool version_store::is_useful(document_stamp const& stamp) const
{
    return this->documents.has_room_for(stamp.name) &&
           stamp.version > this->documents.held_version(stamp.name);
}

void version_store::receive(
    time_point now,
    vm_id sender,
    document_listing const& message,
    effect_list& effects)
{
    this->ensure_deadlines(now);
    // An empty answer comes from another joiner and carries no information.
    if (message.kind == listing_kind::answer && !message.documents.empty())
        this->has_peer_answered = true;
    for (auto const& stamp : message.documents)
    {
        if (!is_listed_name(stamp.name) || !this->is_useful(stamp))
            continue;
        this->fetches.record_peer(stamp.name, sender, stamp.version);
    }
    this->record_completeness(message);
    if (message.kind == listing_kind::request && !this->documents.empty())
        this->send_listing(sender, listing_kind::answer, effects);
    this->start_fetches(now, effects);
}

void version_store::compare_digest(
    time_point now, vm_id peer, std::uint64_t digest, effect_list& effects)
{
    this->ensure_deadlines(now);
    if (digest == this->digest())
    {
        // Equal digests do not end the wait below: two VMs that miss the same
        // change would keep each other from requesting it.
        this->has_peer_answered |= !this->documents.empty();
        return;
    }
    if (this->has_peer_answered && this->is_propagating(now))
        return;
    this->request_listing(now, peer, effects);
}

void version_store::request_listing(
    time_point now, vm_id peer, effect_list& effects)
{
    auto& next_request = this->next_listing_requests[peer];
    if (now < next_request)
        return;
    next_request = now + listing_request_period;
    this->send_listing(peer, listing_kind::request, effects);
}

void version_store::receive(
    time_point now, document_fetched const& event, effect_list& effects)
{
    this->ensure_deadlines(now);
    // Storing a text that is older than one another VM has would restore what
    // operators have replaced: flows would go to upstreams that were taken out
    // of service. Symptom: VMs that disagree, or a change that appears and
    // disappears.
    auto const is_lower =
        event.version < this->highest_known_version(event.name);
    auto const is_usable =
        is_listed_name(event.name) && event.text.size() <= maximum_text_bytes;
    if (!is_usable)
        this->reject_text(event, effects);
    else if (is_lower)
        this->fetches.fail_lower(event.name, event.source, event.version);
    else if (this->is_useful({event.name, event.version}))
        this->store_fetched(now, event, effects);
    this->start_fetches(now, effects);
}

void version_store::reject_text(
    document_fetched const& event, effect_list& effects)
{
    this->fetches.fail(event.name, event.source);
    document_stamp const rejected{event.name, event.version};
    if (!is_listed_name(event.name) || this->reported_too_long == rejected)
        return;
    this->reported_too_long = rejected;
    effects.push_back(report{
        report_kind::document_rejected,
        event.name,
        {},
        {{"version", std::to_string(event.version.value())},
         {"error", "too_long"},
         {"bytes", std::to_string(event.text.size())}}});
}

void version_store::start_fetches(time_point now, effect_list& effects)
{
    auto const first = static_cast<std::ptrdiff_t>(effects.size());
    this->fetches.start_due(now, this->access, this->random, effects);
    for (effect& started : std::span(effects).subspan(first))
    {
        if (auto* const fetch = std::get_if<fetch_document>(&started))
            fetch->held = this->documents.version_of_text(fetch->name);
    }
}

void version_store::store_fetched(
    time_point now, document_fetched const& event, effect_list& effects)
{
    auto const version_before = this->documents.version_of_text(event.name);
    bool const is_stored =
        this->store_text(now, event.name, event.version, event.text, effects);
    if (!is_stored)
        return this->fetches.fail(event.name, event.source);
    auto const own_name = get_document_name(event.name);
    if (is_registry_name(own_name))
        this->disseminate(own_name, version_before, event.source, effects);
}

bool version_store::store_text(
    time_point now,
    std::string_view name,
    document_version version,
    std::string const& text,
    effect_list& effects)
{
    if (!this->documents.store(name, version, text, effects))
        return false;
    this->progress_deadline = now + this->settings.join_timeout;
    this->documents_changed_at = now;
    this->digests_differ_since.reset();
    if (!is_registry_name(get_document_name(name)))
        this->unannounced.emplace_back(name);
    this->satisfy_fetches(name);
    // While fetches are outstanding, compiling waits for the next tick: a
    // joiner that receives thousands of documents would compile after each.
    if (this->fetches.empty())
        this->compile_and_announce(effects);
    this->update_completeness();
    this->serve_joiners(now, effects);
    return true;
}

void version_store::satisfy_fetches(std::string_view stored_name)
{
    auto const satisfy = [this](std::string_view name)
    {
        this->fetches.satisfy(name, this->documents.held_version(name));
    };
    auto const own_name = get_document_name(stored_name);
    satisfy(own_name);
    satisfy(make_accepted_name(own_name));
    if (own_name != allotment_document_name)
        return;
    // A new allotment changes which texts are accepted.
    for (auto const& name : this->fetches.names())
        satisfy(name);
}

void version_store::compile_and_announce(effect_list& effects)
{
    this->compile();
    this->announce(effects);
}

void version_store::compile()
{
    if (!this->documents.needs_compile())
        return;
    this->in_force =
        std::make_shared<directory const>(this->documents.compile());
    ++this->directory_generation;
}

void version_store::announce(effect_list& effects)
{
    if (this->unannounced.empty())
        return;
    auto const names = std::exchange(this->unannounced, {});
    auto stamps = this->documents.stamps();
    std::erase_if(
        stamps,
        [&names](document_stamp const& stamp)
        {
            auto const own_name = get_document_name(stamp.name);
            return std::ranges::find(names, own_name) == names.end();
        });
    // Sends one datagram to each target. The documents of a joiner exceed it,
    // but its peers have those already; documents that are really missing are
    // found by comparing digests.
    auto parts = split_listing(listing_kind::answer, stamps);
    auto const targets = choose_announce_targets(
        this->self, this->peers, this->settings.announce_fanout, this->random);
    for (auto const target : targets)
        effects.push_back(send_control{target, parts.front()});
}

void version_store::receive(
    time_point now, document_fetch_failed const& event, effect_list& effects)
{
    this->ensure_deadlines(now);
    this->fetches.fail(event.name, event.source);
    this->start_fetches(now, effects);
}

bool version_store::is_propagating(time_point now)
{
    bool const is_first_difference =
        !this->digests_differ_since ||
        now > this->digests_differed_until + propagation_time * 4;
    if (is_first_difference)
        this->digests_differ_since = now;
    this->digests_differed_until = now;
    return now < *this->digests_differ_since + propagation_time ||
           now < this->documents_changed_at + propagation_time;
}

std::uint64_t version_store::digest() const
{
    return this->documents.digest();
}

std::shared_ptr<directory const> version_store::current() const
{
    return this->in_force;
}

registry_contents version_store::registered() const
{
    return this->documents.registry().contents();
}

document_version version_store::version_of(std::string_view name) const
{
    return this->documents.version_of_text(name);
}

std::uint64_t version_store::generation() const
{
    return this->directory_generation;
}

std::optional<version_store::stored_document> version_store::find_document(
    std::string_view name, document_version requester_version) const
{
    auto text = this->documents.find(name, requester_version);
    if (text == nullptr)
        return std::nullopt;
    return stored_document{
        this->documents.version_of_text(name), std::move(text)};
}

std::vector<document_stamp> version_store::stamps() const
{
    return this->documents.stamps();
}

bool version_store::is_caught_up(time_point now) const
{
    if (this->fetches.is_blocking() || this->documents.needs_compile())
        return false;
    if (this->has_peer_answered)
        return true;
    if (!this->join_deadline || now < *this->join_deadline)
        return false;
    return this->watch.has_answered() || !this->documents.empty();
}

} // namespace cairnhead
