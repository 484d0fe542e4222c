#include "fleet.hpp"

#include <algorithm>

namespace cairnhead
{

namespace
{

constexpr std::uint32_t first_vm = 0x7f000101;

/// Each VM pings one peer in this many ticks; pings carry digests.
constexpr std::size_t ping_ticks = 5;

/// A reader calls the platform once in this many ticks.
constexpr std::size_t call_ticks = 10;

/// The first VMs are seeds, which others ask to join.
constexpr std::size_t seed_count = 3;

} // namespace

void fake_platform::publish(std::string const& name, std::string const& text)
{
    auto& target = this->documents[name];
    target = {target.version + 1, text};
    ++this->index;
}

fleet::fleet(
    std::size_t vms,
    std::size_t failure_domains,
    std::uint32_t readers,
    duration patience)
    : domains(failure_domains), readers_per_domain(readers),
      reader_patience(patience)
{
    using namespace version_texts;
    this->platform.publish("allotment", both_allotted);
    this->platform.publish(association, association_text);
    this->platform.publish(brackenlea, brackenlea_text);
    for (std::size_t vm = 0; vm < vms; ++vm)
        this->add_node();
    this->set_all_peers();
    for (std::size_t vm = 0; vm < vms; ++vm)
        this->start(vm);
}

void fleet::start(std::size_t vm)
{
    effect_list effects;
    bool const is_seed = vm < seed_count;
    this->nodes[vm].store.start(this->now, is_seed, effects);
    this->execute(vm, effects);
}

void fleet::add_node()
{
    auto const number = static_cast<std::uint32_t>(this->nodes.size());
    auto const domain = static_cast<std::uint32_t>(number % this->domains);
    vm_identity const self{vm_id(first_vm + number), failure_domain_id(domain)};
    version_settings settings;
    // The bounds on reads in these tests are counted for this back-off.
    settings.backoff_maximum = std::chrono::seconds(30);
    settings.readers_per_domain = this->readers_per_domain;
    settings.reader_patience = this->reader_patience;
    this->nodes.push_back(
        {self, version_store(settings, self, number), {}, false, {}});
}

std::size_t fleet::join()
{
    this->add_node();
    this->set_all_peers();
    this->start(this->nodes.size() - 1);
    return this->nodes.size() - 1;
}

void fleet::cut(std::size_t vm)
{
    this->nodes[vm].is_cut = true;
    this->set_all_peers();
}

void fleet::kill_unnoticed(std::size_t vm)
{
    this->nodes[vm].is_cut = true;
}

bool fleet::all_connected_have(std::string const& name, std::uint64_t version)
{
    return std::ranges::all_of(
        this->nodes,
        [&](node const& each)
        {
            auto const held = each.store.find_document(name);
            return each.is_cut ||
                   (held && held->version == document_version(version));
        });
}

void fleet::reconnect(std::size_t vm)
{
    this->nodes[vm].is_cut = false;
    this->set_all_peers();
}

void fleet::set_all_peers()
{
    for (std::size_t vm = 0; vm < this->nodes.size(); ++vm)
    {
        std::vector<document_peer> peers;
        for (std::size_t other = 0; other < this->nodes.size(); ++other)
        {
            if (other == vm || !this->is_connected(vm, other))
                continue;
            auto const& self = this->nodes[other].self;
            peers.push_back({self.id, self.domain});
        }
        this->nodes[vm].store.set_peers(this->now, peers);
    }
}

void fleet::run(std::size_t ticks)
{
    for (std::size_t tick = 0; tick < ticks; ++tick)
    {
        this->now += tick_period;
        auto const tick_number = this->now.time_since_epoch() / tick_period;
        for (std::size_t vm = 0; vm < this->nodes.size(); ++vm)
        {
            effect_list effects;
            this->nodes[vm].store.tick(this->now, effects);
            auto const peer =
                (vm + tick_number / ping_ticks) % this->nodes.size();
            this->execute(vm, effects);
            if (tick_number % ping_ticks == 0 && this->is_connected(vm, peer))
                this->compare_digests(vm, peer);
        }
        this->deliver();
        this->answer_watches();
        if (tick_number % call_ticks == 0)
            this->answer_calls();
        this->deliver();
    }
}

void fleet::compare_digests(std::size_t first, std::size_t second)
{
    // A ping carries the digest of its sender, the answer that of its receiver.
    for (auto const& [vm, peer] :
         {std::pair(first, second), std::pair(second, first)})
    {
        effect_list effects;
        this->nodes[vm].store.compare_digest(
            this->now, this->nodes[peer].self.id,
            this->nodes[peer].store.digest(), effects);
        this->execute(vm, effects);
    }
}

void fleet::deliver()
{
    while (!this->pending_messages.empty())
    {
        auto const next = std::move(this->pending_messages.front());
        this->pending_messages.pop_front();
        next();
    }
}

template <typename... Arguments>
void fleet::post(std::size_t to, Arguments... arguments)
{
    this->pending_messages.push_back(
        [this, to, arguments...]
        {
            effect_list effects;
            this->nodes[to].store.receive(this->now, arguments..., effects);
            this->execute(to, effects);
        });
}

void fleet::execute(std::size_t from, effect_list& effects)
{
    for (auto const& item : effects)
        this->execute_one(from, item);
}

void fleet::execute_one(std::size_t from, effect const& item)
{
    auto& own = this->nodes[from];
    if (auto const* entry = std::get_if<report>(&item))
        ++own.reports[entry->kind];
    if (auto const* watch = std::get_if<watch_platform>(&item))
    {
        ++this->platform.watches;
        own.watching = watch->after;
    }
    if (auto const* document = std::get_if<fetch_document>(&item))
        this->fetch(from, *document);
    auto const* message = std::get_if<send_control>(&item);
    if (message == nullptr)
        return;
    auto const to = this->find(message->target);
    if (!this->is_connected(from, to))
        return;
    if (auto const* change = std::get_if<registry_change>(&message->body))
        return this->relay(from, to, *change);
    if (auto const* heartbeat = std::get_if<reading_heartbeat>(&message->body))
        return this->post(to, own.self.id, *heartbeat);
    if (auto const* attempt = std::get_if<reading_attempt>(&message->body))
        return this->post(to, own.self.id, *attempt);
    if (auto const* join_message = std::get_if<join_request>(&message->body))
        return this->post(to, own.self.id, *join_message);
    if (auto const* referral = std::get_if<join_referral>(&message->body))
        return this->post(to, own.self.id, *referral);
    this->post(to, own.self.id, std::get<document_listing>(message->body));
}

void fleet::relay(
    std::size_t from, std::size_t to, registry_change const& change)
{
    ++this->traffic.changes;
    ++this->traffic.changes_by_sender[from];
    constexpr unsigned hundred_percent = 100;
    if (this->random() % hundred_percent < this->lost_changes_percent)
        return;
    this->post(to, this->nodes[from].self.id, change);
}

void fleet::fetch(std::size_t from, fetch_document const& request)
{
    if (!request.source)
        return this->fetch_from_platform(from, request);
    auto const source = this->find(*request.source);
    ++this->traffic.peer_fetches;
    this->traffic.most_fetches_served = std::max(
        this->traffic.most_fetches_served, ++this->traffic.served_by[source]);
    auto const held =
        this->nodes[source].store.find_document(request.name, request.held);
    auto const can_serve = held && this->is_connected(from, source) &&
                           !this->unresponsive_peers.contains(source);
    if (!can_serve)
        return this->post(
            from, document_fetch_failed{request.source, request.name});
    this->post(
        from, document_fetched{
                  request.source, request.name, held->version, *held->text});
}

void fleet::fetch_from_platform(std::size_t from, fetch_document const& request)
{
    ++this->platform.fetches;
    auto const state = this->platform.state;
    if (state == platform_state::silent)
        return;
    auto const can_serve =
        state == platform_state::good || state == platform_state::old_documents;
    if (!can_serve || this->nodes[from].is_cut)
        return this->post(
            from, document_fetch_failed{std::nullopt, request.name});
    auto const& held = this->platform.documents[request.name];
    auto const age = state == platform_state::old_documents ? 1 : 0;
    this->post(
        from, document_fetched{
                  std::nullopt, request.name,
                  document_version(held.version - age), held.text});
}

bool fleet::is_served(std::size_t vm) const
{
    bool const is_up = this->platform.state != platform_state::down &&
                       this->platform.state != platform_state::silent;
    return is_up && !this->nodes[vm].is_cut &&
           !this->rejected_by_platform.contains(vm);
}

void fleet::answer_calls()
{
    for (std::size_t vm = 0; vm < this->nodes.size(); ++vm)
    {
        bool const is_answered =
            this->nodes[vm].watching && this->is_served(vm);
        if (is_answered && this->reader_patience != duration::zero())
            this->post(vm, platform_answered{});
    }
}

void fleet::answer_watches()
{
    if (this->platform.state == platform_state::silent)
        return;
    platform_listed listing{platform_index(this->platform.index), {}, {}};
    for (auto const& [name, held] : this->platform.documents)
        listing.documents.push_back({name, document_version(held.version)});
    for (std::size_t vm = 0; vm < this->nodes.size(); ++vm)
    {
        auto& own = this->nodes[vm];
        if (!own.watching)
            continue;
        bool const is_down = !this->is_served(vm);
        if (!is_down && *own.watching == listing.index)
            continue;
        own.watching.reset();
        if (is_down)
        {
            this->post(vm, platform_failed{});
            continue;
        }
        this->post(vm, listing);
        if (this->reader_patience != duration::zero())
            this->post(vm, platform_answered{});
    }
}

version_store& fleet::at(std::size_t vm)
{
    return this->nodes[vm].store;
}

bool fleet::is_caught_up(std::size_t vm)
{
    return this->at(vm).is_caught_up(this->now);
}

std::size_t fleet::size() const
{
    return this->nodes.size();
}

std::size_t fleet::count_reports(std::size_t vm, report_kind kind) const
{
    auto const found = this->nodes[vm].reports.find(kind);
    return found == this->nodes[vm].reports.end() ? 0 : found->second;
}

bool fleet::all_have(std::string const& name, std::uint64_t version)
{
    return std::ranges::all_of(
        this->nodes,
        [&](node const& item)
        {
            auto const held = item.store.find_document(name);
            return held && held->version == document_version(version);
        });
}

std::size_t fleet::find(vm_id id) const
{
    return id.value() - first_vm;
}

bool fleet::is_connected(std::size_t from, std::size_t to) const
{
    return from != to && !this->nodes[from].is_cut && !this->nodes[to].is_cut;
}

} // namespace cairnhead
