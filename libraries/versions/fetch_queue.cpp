#include <versions/fetch_queue.hpp>

#include <versions/document_name.hpp>

#include <algorithm>
#include <tuple>

namespace cairnhead
{

namespace
{

/// Lower ones are fetched first.
int rank_of(std::string_view name)
{
    auto const own_name = get_document_name(name);
    if (own_name == upstream_document_name)
        return 0;
    return own_name == route_document_name ? 2 : 1;
}

} // namespace

bool fetch_queue::urgency::operator()(
    std::string_view first, std::string_view second) const
{
    return std::tuple(rank_of(first), first) <
           std::tuple(rank_of(second), second);
}

fetch_queue::fetch_queue(version_settings const& chosen) : settings(chosen)
{
}

fetch_queue::wanted_document& fetch_queue::find_or_add(std::string_view name)
{
    backoff const fresh(
        this->settings.backoff_minimum, this->settings.backoff_maximum);
    return this->wanted.try_emplace(std::string(name), fresh).first->second;
}

void fetch_queue::record_peer(
    std::string_view name, vm_id peer, document_version version)
{
    auto& item = this->find_or_add(name);
    auto const earlier_target = get_target(item);
    auto known = std::ranges::find(item.peers, peer, &announcement::peer);
    if (known == item.peers.end() && item.peers.size() < maximum_sources)
        known = item.peers.insert(known, {peer, {}});
    if (known == item.peers.end())
        known =
            std::ranges::min_element(item.peers, {}, &announcement::version);
    if (known->version >= version)
        return;
    *known = {peer, version};
    std::erase(item.tried, std::optional(peer));
    retry_at_once(item, earlier_target);
}

void fetch_queue::record_platform(
    std::string_view name, document_version version)
{
    auto& item = this->find_or_add(name);
    auto const earlier_target = get_target(item);
    if (item.platform_version >= version)
        return;
    item.platform_version = version;
    std::erase(item.tried, std::nullopt);
    retry_at_once(item, earlier_target);
}

void fetch_queue::retry_at_once(
    wanted_document& item, document_version earlier_target)
{
    item.next_start = {};
    if (get_target(item) == earlier_target)
        return;
    // Failures to fetch an earlier version say nothing about this one.
    item.tried.clear();
    item.delay.reset();
}

void fetch_queue::keep_peers(std::span<document_peer const> peers)
{
    absl::flat_hash_set<vm_id> reachable;
    for (auto const& peer : peers)
        reachable.insert(peer.id);
    for (auto& [name, item] : this->wanted)
    {
        auto const is_unreachable = [&reachable](announcement const& from)
        {
            return !reachable.contains(from.peer);
        };
        std::erase_if(item.peers, is_unreachable);
        if (!item.running || !item.running->source)
            continue;
        if (!reachable.contains(*item.running->source))
            item.running.reset();
    }
    std::erase_if(
        this->wanted,
        [](auto const& entry)
        {
            return get_target(entry.second) == document_version{};
        });
}

document_version fetch_queue::get_target(wanted_document const& item)
{
    auto target = item.platform_version;
    for (auto const& from : item.peers)
        target = std::max(target, from.version);
    return target;
}

std::optional<document_version>
fetch_queue::wanted_version(std::string_view name) const
{
    auto const found = this->wanted.find(name);
    if (found == this->wanted.end())
        return std::nullopt;
    return get_target(found->second);
}

std::vector<std::string> fetch_queue::names() const
{
    std::vector<std::string> all;
    for (auto const& [name, item] : this->wanted)
        all.push_back(name);
    return all;
}

void fetch_queue::satisfy(std::string_view name, document_version held)
{
    auto const found = this->wanted.find(name);
    if (found != this->wanted.end() && get_target(found->second) <= held)
        this->wanted.erase(found);
}

void fetch_queue::fail(std::string_view name, std::optional<vm_id> source)
{
    auto const found = this->wanted.find(name);
    if (found == this->wanted.end())
        return;
    auto& item = found->second;
    if (!item.running || item.running->source != source)
        return;
    item.running.reset();
    item.tried.push_back(source);
}

void fetch_queue::fail_lower(
    std::string_view name,
    std::optional<vm_id> source,
    document_version version)
{
    auto const found = this->wanted.find(name);
    if (found == this->wanted.end())
        return;
    auto& item = found->second;
    if (!item.running || item.running->source != source)
        return;
    if (version < item.running->version)
        item.tried.push_back(source);
    item.running.reset();
}

void fetch_queue::end_timed_out(time_point now)
{
    for (auto& [name, item] : this->wanted)
    {
        if (!item.running || now < item.running->deadline)
            continue;
        item.tried.push_back(item.running->source);
        item.running.reset();
    }
}

bool fetch_queue::was_tried(
    wanted_document const& item, std::optional<vm_id> source)
{
    return std::ranges::find(item.tried, source) != item.tried.end();
}

std::optional<std::optional<vm_id>> fetch_queue::choose_source(
    std::string_view name, wanted_document const& item, platform_access access)
{
    auto const target = get_target(item);
    for (auto const& from : item.peers)
    {
        if (from.version < target || was_tried(item, from.peer))
            continue;
        return from.peer;
    }
    // The platform may have the version although its last listing lacked it.
    auto const may_ask_platform =
        access != platform_access::none && !is_accepted_name(name);
    if (may_ask_platform && !was_tried(item, std::nullopt))
        return std::optional<vm_id>();
    return std::nullopt;
}

void fetch_queue::start_due(
    time_point now,
    platform_access access,
    version_random& random,
    effect_list& effects)
{
    this->end_timed_out(now);
    auto running = this->count_running();
    for (auto& [name, item] : this->wanted)
    {
        if (running >= maximum_fetches)
            return;
        if (item.running || now < item.next_start)
            continue;
        auto const source = choose_source(name, item, access);
        if (source)
        {
            this->start(now, name, item, *source, effects);
            ++running;
            continue;
        }
        if (item.tried.empty())
            continue;
        item.tried.clear();
        item.next_start = item.delay.fail(now, random);
    }
}

void fetch_queue::start(
    time_point now,
    std::string const& name,
    wanted_document& item,
    std::optional<vm_id> source,
    effect_list& effects)
{
    auto const target = get_target(item);
    auto const deadline = now + this->settings.fetch_timeout;
    item.running = attempt{source, target, deadline};
    effects.push_back(fetch_document{source, name, target});
}

std::size_t fetch_queue::count_running() const
{
    return std::ranges::count_if(
        this->wanted,
        [](auto const& entry)
        {
            return entry.second.running.has_value();
        });
}

bool fetch_queue::empty() const
{
    return this->wanted.empty();
}

bool fetch_queue::is_blocking() const
{
    return std::ranges::any_of(
        this->wanted,
        [](auto const& entry)
        {
            return entry.second.delay.failures() < maximum_blocking_rounds;
        });
}

} // namespace cairnhead
