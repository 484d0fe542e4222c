#include <versions/version_store.hpp>

#include <versions/document_name.hpp>
#include <versions/relay_tree.hpp>

#include <algorithm>
#include <utility>

/// How changes of a registry are disseminated along the tree of a failure
/// domain.
namespace cairnhead
{

namespace
{

/// Longest text of a change that is relayed in one datagram; leaves room for
/// the rest of the message and its authentication.
constexpr std::size_t maximum_relayed_text_bytes = 900;

/// Fanout of a VM that took over as a reader without being elected: it sends a
/// change to as many VMs as it announces its reading to.
constexpr std::size_t fallback_fanout = 16;

std::string_view document_name_of(registry_document document)
{
    switch (document)
    {
    case registry_document::routes:
        return route_document_name;
    case registry_document::upstreams:
        return upstream_document_name;
    case registry_document::evacuations:
        break;
    }
    return evacuation_document_name;
}

/// Precondition: `is_registry_name(name)`.
registry_document registry_document_of(std::string_view name)
{
    if (name == route_document_name)
        return registry_document::routes;
    return name == upstream_document_name ? registry_document::upstreams
                                          : registry_document::evacuations;
}

} // namespace

void version_store::receive(
    time_point now,
    vm_id sender,
    registry_change const& message,
    effect_list& effects)
{
    this->ensure_deadlines(now);
    auto const name = document_name_of(message.document);
    bool const is_newer = this->is_useful({std::string(name), message.version});
    bool const is_stored =
        is_newer && !message.text.empty() &&
        this->store_text(now, name, message.version, message.text, effects);
    bool const is_missing = is_newer && !is_stored;
    if (is_missing)
        this->fetches.record_peer(name, sender, message.version);
    // VMs below this one in the tree fetch a text that is too long for a
    // datagram from here, so this VM has to hold it first.
    if (is_missing && message.text.empty())
        this->relays.await(message);
    else
        this->relay(message, effects);
    this->start_fetches(now, effects);
}

bool version_store::is_from_own_domain(std::optional<vm_id> source) const
{
    if (!source)
        return false;
    auto const found =
        std::ranges::find(this->peers, *source, &document_peer::id);
    return found != this->peers.end() && found->domain == this->self.domain;
}

void version_store::disseminate(
    std::string_view name,
    document_version version_before,
    std::optional<vm_id> source,
    effect_list& effects)
{
    registry_document const document = registry_document_of(name);
    auto const held_version = this->documents.version_of_text(name);
    if (auto const awaited = this->relays.take_awaited(document, held_version))
        this->relay(*awaited, effects);
    bool const is_newer_here =
        held_version > version_before && !this->is_from_own_domain(source);
    // Documents that a VM receives as it joins are new to no other VM: if each
    // VM sent them on, a start of all VMs would have each of them send to all
    // others. But the first version of a document that the platform publishes
    // reaches only its readers.
    bool const has_joined = version_before != document_version();
    if (is_newer_here && (has_joined || this->is_reader()))
        this->start_dissemination(document, version_before, effects);
}

void version_store::start_dissemination(
    registry_document document,
    document_version version_before,
    effect_list& effects)
{
    auto const name = document_name_of(document);
    registry_change change{
        document, this->documents.version_of_text(name), this->self.id, {}};
    auto const text = this->documents.find(name, version_before);
    if (text != nullptr && text->size() <= maximum_relayed_text_bytes)
        change.text = *text;
    this->relay(change, effects);
}

void version_store::relay(registry_change const& change, effect_list& effects)
{
    if (!this->relays.begin(change))
        return;
    // Where the elected readers have stopped, other VMs of the tree may have
    // stopped too.
    bool const is_tree_intact =
        change.origin != this->self.id || this->election.is_elected();
    std::size_t const fanout =
        is_tree_intact ? this->settings.relay_fanout : fallback_fanout;
    auto const targets =
        relay_targets(this->self, this->peers, change.origin, fanout);
    for (vm_id const target : targets)
        effects.push_back(send_control{target, change});
}

} // namespace cairnhead
