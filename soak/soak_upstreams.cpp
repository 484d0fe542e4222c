#include <soak/soak_upstreams.hpp>

#include <base/hash.hpp>
#include <base/ipv4.hpp>

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>
#include <system_error>
#include <utility>

namespace cairnhead::soak
{

namespace
{

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

constexpr std::uint16_t upstream_port = 8080;
constexpr std::uint32_t slots = 4;
constexpr duration service_time = 10ms;
constexpr std::uint32_t slow_factor = 8;
constexpr std::size_t one_in_slow = 3;
constexpr std::size_t one_in_failing = 4;

/// A dead upstream's entry goes after this.
constexpr duration lease = 3s;
/// A leaving one gets nothing new after this, and is gone a little later.
constexpr duration drain_bound = 3s;
constexpr duration drain_time = 5s;
/// Others know an upstream by then.
constexpr duration known_after = 3s;

/// Attempts to connect that fill the queue of a machine which is gone.
constexpr int fillers = 3;

file_descriptor open_stream()
{
    return file_descriptor(
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

file_descriptor listen_at(socket_address own)
{
    file_descriptor opened = open_stream();
    int const yes = 1;
    ::setsockopt(opened.get(), SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    sockaddr_in const bound = to_sockaddr(own);
    auto const* const plain = reinterpret_cast<sockaddr const*>(&bound);
    bool const is_open = ::bind(opened.get(), plain, sizeof(bound)) == 0 &&
                         ::listen(opened.get(), 64) == 0;
    if (!is_open)
        throw std::system_error(errno, std::generic_category(), "upstream");
    return opened;
}

void accept_all(file_descriptor const& listener)
{
    int taken = 0;
    while (taken >= 0)
    {
        taken = ::accept(listener.get(), nullptr, nullptr);
        file_descriptor const closed(taken);
    }
}

packet_phase phase_of(tagged_path::packet const& got)
{
    if ((got.flags & tagged_path::rst) != 0)
        return packet_phase::reset;
    if ((got.flags & tagged_path::syn) != 0)
        return packet_phase::opening;
    return (got.flags & tagged_path::fin) != 0 ? packet_phase::closing
                                               : packet_phase::ongoing;
}

std::string key_of(instance_number instance)
{
    return std::string(upstream_key_prefix) + name_of_instance(instance);
}

} // namespace

soak_upstreams::soak_upstreams(
    parties others,
    std::vector<std::string> failure_domains,
    std::function<std::string(std::uint32_t)> host)
    : with(std::move(others)), domains(std::move(failure_domains)),
      address_of(std::move(host))
{
}

void soak_upstreams::start(std::string const& pool, std::uint32_t number)
{
    this->add(
        pool, this->domains[number % this->domains.size()],
        this->address_of(this->next_host++));
}

void soak_upstreams::add(
    std::string const& pool,
    std::string const& failure_domain,
    std::string const& address)
{
    registered_upstream self;
    // Their numbers, from which their sequences follow, are far apart.
    self.instance = instance_number(hash_pair(this->next_instance++, 0));
    self.address = parse_ipv4(address).value();
    self.port = upstream_port;
    self.slots = slots;
    self.pool = pool;
    self.failure_domain = failure_domain;
    this->started.push_back(self.instance);
    soak_upstream& added = this->all[self.instance];
    emulator::upstream_effects effects;
    effects.send = [this, &added](emulator::upstream_packet const& packet)
    {
        this->with.answer(
            {packet, added.tags[packet.flow], added.vms[packet.flow]});
    };
    effects.run = [this, &self = added](flow_number flow, std::uint32_t request)
    {
        this->with.record.note_run(
            this->with.time.now(), flow, request,
            name_of_instance(self.serving->registered().instance));
    };
    added.serving = std::make_unique<emulator::emulated_upstream>(
        self, emulator::upstream_shape{service_time}, this->with.time,
        std::move(effects));
    socket_address const own{self.address, self.port};
    added.socket.emplace(own);
    added.listener = listen_at(own);
    added.started_at = this->with.time.now();
    this->write_entry(added, "ready");
}

void soak_upstreams::write_entry(
    soak_upstream const& of, std::string const& state)
{
    registered_upstream const& self = of.serving->registered();
    this->with.store.put(
        key_of(self.instance), samples::make_entry(self, state));
}

void soak_upstreams::remove_entry(instance_number instance)
{
    this->with.store.remove(key_of(instance));
}

std::vector<int> soak_upstreams::descriptors() const
{
    std::vector<int> found;
    for (auto const& [instance, each] : this->all)
    {
        if (each.socket)
            found.push_back(each.socket->descriptor());
    }
    return found;
}

registered_upstream const& soak_upstreams::place_of(std::size_t number) const
{
    return this->all.at(this->started.at(number)).serving->registered();
}

void soak_upstreams::serve()
{
    for (auto& [instance, each] : this->all)
    {
        if (!each.socket)
            continue;
        if (each.serving->life() == emulator::upstream_life::serving)
            accept_all(each.listener);
        while (auto const got = tagged_path::receive(*each.socket))
            this->take(each, *got);
    }
}

void soak_upstreams::take(soak_upstream& at, tagged_path::datagram const& got)
{
    constexpr std::size_t instance_bytes = 8;
    std::span<std::uint8_t const> const bytes(got.bytes);
    std::uint64_t const high = read_uint32(bytes, 0);
    instance_number const meant(high << 32 | read_uint32(bytes, 4));
    // It was meant for whoever had the address before.
    if (meant != at.serving->registered().instance)
        return;
    auto const read = tagged_path::decode(bytes.subspan(instance_bytes));
    auto const vm = this->with.vm_at(got.sender.address);
    this->with.path.carry(
        [this, meant, read, vm]
        {
            auto const known = this->all.find(meant);
            if (known != this->all.end())
                this->receive(known->second, read, vm);
        });
}

void soak_upstreams::receive(
    soak_upstream& at, tagged_path::packet const& got, std::size_t vm)
{
    auto const flow = this->with.flow_of(got.source.port);
    if (!flow)
        return;
    emulator::caller_packet packet;
    packet.flow = *flow;
    packet.phase = phase_of(got);
    packet.tag = upstream_tag(got.echo);
    packet.progress = {got.sequence, got.acknowledgement, !got.data.empty()};
    if (!got.data.empty())
        packet.request = static_cast<std::uint32_t>(std::stoul(got.data));
    at.tags[*flow] = got.echo;
    at.vms[*flow] = vm;
    if (packet.phase == packet_phase::opening)
        this->check_opening(at, got, vm);
    at.serving->receive(packet);
}

void soak_upstreams::check_opening(
    soak_upstream const& at, tagged_path::packet const& got, std::size_t vm)
{
    registered_upstream const& self = at.serving->registered();
    time_point const now = this->with.time.now();
    std::string const what = "upstream=" + name_of_instance(self.instance) +
                             " service=" + self.pool + " route_port=" +
                             std::to_string(got.destination.port) +
                             " vm=" + std::to_string(vm) +
                             " caller_port=" + std::to_string(got.source.port);
    if (!this->with.leads_to(got.destination.port, self.pool))
        this->with.record.note(now, broken_promise::wrong_service, what);
    auto const since = at.serving->draining_since();
    bool const is_bound = since && now > *since + drain_bound &&
                          this->with.disturbed.is_vm_informed(vm, now);
    if (is_bound)
        this->with.record.note(now, broken_promise::new_at_leaving, what);
}

std::vector<soak_upstream*> soak_upstreams::find_serving()
{
    std::vector<soak_upstream*> serving;
    for (auto& [instance, each] : this->all)
    {
        bool const is_whole =
            each.serving->life() == emulator::upstream_life::serving &&
            !each.serving->draining_since();
        if (is_whole)
            serving.push_back(&each);
    }
    return serving;
}

soak_upstream* soak_upstreams::pick(std::uint32_t target)
{
    auto const serving = this->find_serving();
    return serving.empty() ? nullptr : serving[target % serving.size()];
}

std::vector<soak_upstream*>
soak_upstreams::pick_share(std::uint32_t target, std::size_t one_in)
{
    auto serving = this->find_serving();
    if (serving.empty())
        return serving;
    auto const first = static_cast<std::ptrdiff_t>(target % serving.size());
    std::rotate(serving.begin(), serving.begin() + first, serving.end());
    serving.resize(std::max<std::size_t>(serving.size() / one_in, 1));
    return serving;
}

void soak_upstreams::drain(std::uint32_t target)
{
    soak_upstream* const leaving = this->pick(target);
    if (leaving == nullptr)
        return;
    registered_upstream const self = leaving->serving->registered();
    leaving->serving->drain(this->with.time.now());
    this->write_entry(*leaving, "draining");
    this->add(
        self.pool, self.failure_domain, this->address_of(this->next_host++));
    this->with.time.add(
        this->with.time.now() + drain_time,
        [this, instance = self.instance]
        {
            this->end_when_drained(instance);
        });
}

void soak_upstreams::end_when_drained(instance_number instance)
{
    auto const known = this->all.find(instance);
    bool const is_there =
        known != this->all.end() &&
        known->second.serving->life() == emulator::upstream_life::serving;
    if (!is_there)
        return;
    if (known->second.serving->flow_count() == 0)
    {
        this->remove_entry(instance);
        known->second.serving->set_life(emulator::upstream_life::silent);
        known->second.socket.reset();
        known->second.listener = {};
        return;
    }
    this->with.time.add(
        this->with.time.now() + 200ms,
        [this, instance]
        {
            this->end_when_drained(instance);
        });
}

void soak_upstreams::kill(
    std::uint32_t target, emulator::upstream_life how, bool is_reused)
{
    soak_upstream* const dying = this->pick(target);
    if (dying == nullptr)
        return;
    registered_upstream const self = dying->serving->registered();
    dying->serving->set_life(how);
    if (how == emulator::upstream_life::refusing)
        dying->listener = {};
    else
        accept_all(dying->listener);
    // The kernel answers no further attempt to connect while the queue of
    // connections that nobody takes is full.
    for (int filler = 0;
         how == emulator::upstream_life::silent && filler < fillers; ++filler)
    {
        ::listen(dying->listener.get(), 0);
        sockaddr_in const place = to_sockaddr({self.address, self.port});
        dying->fillers.push_back(open_stream());
        static_cast<void>(::connect(
            dying->fillers.back().get(),
            reinterpret_cast<sockaddr const*>(&place), sizeof(place)));
    }
    this->with.time.add(
        this->with.time.now() + lease,
        [this, self, is_reused]
        {
            this->remove_entry(self.instance);
            soak_upstream& gone = this->all[self.instance];
            gone.socket.reset();
            gone.listener = {};
            gone.fillers.clear();
            std::string const other =
                self.pool == "listings" ? "media" : "listings";
            if (is_reused)
                this->add(
                    other, self.failure_domain, format_ipv4(self.address));
            this->add(
                self.pool, self.failure_domain,
                this->address_of(this->next_host++));
        });
}

void soak_upstreams::slow_down(std::uint32_t target, time_point until)
{
    soak_upstream* const slow = this->pick(target);
    if (slow != nullptr)
        this->slow_down(*slow, until);
}

void soak_upstreams::slow_down(soak_upstream& slow, time_point until)
{
    slow.serving->set_slowness(slow_factor);
    slow.disturbed_until = until;
    this->with.time.add(
        until,
        [serving = slow.serving.get()]
        {
            serving->set_slowness(1);
        });
}

void soak_upstreams::slow_down_many(std::uint32_t target, time_point until)
{
    for (soak_upstream* const each : this->pick_share(target, one_in_slow))
        this->slow_down(*each, until);
}

void soak_upstreams::fail_many(std::uint32_t target, time_point until)
{
    for (soak_upstream* const each : this->pick_share(target, one_in_failing))
    {
        each->serving->set_failing(true);
        this->with.time.add(
            until,
            [serving = each->serving.get()]
            {
                serving->set_failing(false);
            });
    }
}

bool soak_upstreams::is_living(instance_number instance, time_point now) const
{
    auto const known = this->all.find(instance);
    return known != this->all.end() &&
           known->second.serving->life() == emulator::upstream_life::serving &&
           now > known->second.disturbed_until;
}

bool soak_upstreams::may_serve(std::string const& pool) const
{
    return std::ranges::any_of(
        this->all,
        [&](auto const& entry)
        {
            soak_upstream const& each = entry.second;
            return each.serving->registered().pool == pool &&
                   each.serving->life() == emulator::upstream_life::serving &&
                   !each.serving->draining_since() &&
                   this->with.time.now() > each.started_at + known_after;
        });
}

} // namespace cairnhead::soak
