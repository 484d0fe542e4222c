#include <versions/version_store.hpp>

#include <versions/document_name.hpp>

#include <algorithm>
#include <utility>

/// Reading the platform, and what VMs of a failure domain send each other about
/// it.
namespace cairnhead
{

void version_store::update_access(time_point now)
{
    // Peers of an older release have no evacuations document.
    auto const registry = this->registered();
    bool const has_all_registry_documents =
        registry.routes == nullptr || registry.evacuations != nullptr;
    auto const is_complete = this->fetches.empty() && this->is_caught_up(now) &&
                             has_all_registry_documents;
    if (is_complete)
        this->progress_deadline = now + this->settings.join_timeout;
    bool const is_joining =
        this->documents.empty() && this->settings.reader_patience != 0s;
    if (!is_joining)
    {
        bool const should_read =
            this->election.is_reading(now) || now >= this->progress_deadline;
        this->access =
            should_read ? platform_access::reading : platform_access::none;
        return;
    }
    bool const was_reading = this->access != platform_access::none;
    this->access = this->join.choose_access(now);
    if (!was_reading && this->join.keeps_reading(now))
        this->election.begin();
}

void version_store::report_reader_role(time_point now, effect_list& effects)
{
    bool const is_reading = this->is_reader();
    if (std::exchange(this->was_reported_as_reader, is_reading) == is_reading)
        return;
    auto const reason = !is_reading                      ? "others_read"
                        : this->documents.empty()        ? "joining"
                        : this->election.is_elected()    ? "elected"
                        : this->election.is_reading(now) ? "no_reader_heard"
                                                         : "documents_missing";
    effects.push_back(report{
        is_reading ? report_kind::reading_started
                   : report_kind::reading_stopped,
        {},
        {},
        {{"why", reason},
         {"known_peers", std::to_string(this->peers.size())}}});
}

std::optional<registry_snapshot> version_store::make_snapshot() const
{
    if (this->complete_up_to == platform_index())
        return std::nullopt;
    return this->documents.registry().snapshot(this->complete_up_to);
}

bool version_store::holds(document_stamp const& stamp) const
{
    return this->documents.version_of_text(stamp.name) >= stamp.version;
}

void version_store::record_completeness(document_listing const& listing)
{
    if (listing.complete_up_to <= this->complete_up_to)
        return;
    this->pending_completeness = listing;
    this->update_completeness();
}

void version_store::update_completeness()
{
    // Without all documents that the sender had, a change between its versions
    // and ours would be considered received, and a reader that continues from
    // that index would never receive it.
    if (!this->pending_completeness)
        return;
    document_listing const& listing = *this->pending_completeness;
    bool const holds_all = std::ranges::all_of(
        listing.documents,
        [this](document_stamp const& stamp)
        {
            return this->holds(stamp);
        });
    if (!holds_all)
        return;
    this->complete_up_to =
        std::max(this->complete_up_to, listing.complete_up_to);
    this->pending_completeness.reset();
}

void version_store::receive(
    time_point now, platform_listed const& event, effect_list& effects)
{
    this->ensure_deadlines(now);
    if (event.is_beyond_extent)
    {
        this->watch.end_first_page_read();
        this->join.record_several_pages();
        return this->tick(now, effects);
    }
    this->watch.listed(now, event.index, this->random, effects);
    this->report_staleness(event, effects);
    for (auto const& stamp : event.documents)
    {
        if (!is_document_name(stamp.name) || !this->is_useful(stamp))
            continue;
        this->fetches.record_platform(stamp.name, stamp.version);
    }
    this->start_fetches(now, effects);
}

void version_store::report_staleness(
    platform_listed const& event, effect_list& effects)
{
    auto const is_stale = [this](document_stamp const& stamp)
    {
        return stamp.version < this->highest_known_version(stamp.name);
    };
    auto const stale = std::ranges::find_if(event.documents, is_stale);
    auto const was_stale = std::exchange(
        this->is_platform_reported_stale, stale != event.documents.end());
    if (was_stale || !this->is_platform_reported_stale)
        return;
    effects.push_back(report{
        report_kind::platform_stale, stale->name,
        "version=" + std::to_string(stale->version.value())});
}

void version_store::receive(
    time_point now, platform_failed const&, effect_list& effects)
{
    this->ensure_deadlines(now);
    this->watch.failed(now, this->random, effects);
    this->election.failed(now);
}

void version_store::receive(
    time_point now, platform_answered const& event, effect_list& effects)
{
    this->ensure_deadlines(now);
    this->record_completeness(
        {listing_kind::answer,
         {{std::string(route_document_name), event.routes},
          {std::string(upstream_document_name), event.upstreams},
          {std::string(evacuation_document_name), event.evacuations}},
         event.complete_up_to});
    reading_heartbeat const heartbeat{this->digest(), this->complete_up_to};
    for (vm_id const listener : this->election.answered(now))
        effects.push_back(send_control{listener, heartbeat});
}

void version_store::receive(
    time_point now,
    vm_id sender,
    reading_heartbeat const& message,
    effect_list& effects)
{
    this->ensure_deadlines(now);
    if (!this->is_from_own_domain(sender))
        return;
    this->election.receive_heartbeat(now, sender);
    // The reader received the newest changes one call ago. If one of them is
    // still missing here, the dissemination tree was broken: it contains VMs
    // that died recently, and no VM has noticed yet.
    if (message.documents_digest != this->digest())
        return this->request_listing(now, sender, effects);
    this->complete_up_to =
        std::max(this->complete_up_to, message.complete_up_to);
}

void version_store::receive(
    time_point now, vm_id sender, reading_attempt const&, effect_list&)
{
    this->ensure_deadlines(now);
    if (this->is_from_own_domain(sender))
        this->election.receive_attempt(now, sender);
}

bool version_store::is_reader() const
{
    return this->access == platform_access::reading;
}

} // namespace cairnhead
