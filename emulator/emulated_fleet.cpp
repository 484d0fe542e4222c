#include <emulator/emulated_fleet.hpp>

#include <base/hash.hpp>
#include <base/ipv4.hpp>
#include <event/start_timeline.hpp>
#include <wire/codec.hpp>

#include <algorithm>
#include <array>
#include <ctime>
#include <numeric>
#include <utility>

namespace cairnhead::emulator
{

namespace
{

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

/// As the client of the metadata store reads it.
constexpr duration call_period = 1s;
constexpr duration call_time = 4ms;
constexpr std::uint32_t maximum_stale_pages = 6;

/// All VMs of a deployment start within this.
constexpr duration start_spread = 300ms;

/// Whether a VM that leaves has ended is looked for this often.
constexpr duration look_period = 50ms;

/// IP and UDP.
constexpr std::size_t datagram_overhead = 28;

/// Opening and closing a connection, and the question with its headers.
constexpr std::size_t fetch_overhead = 900;

/// A watch that brings no news, and each change that it brings.
constexpr std::uint64_t call_bytes = 400;

/// A change has to be in force everywhere after this.
constexpr duration in_force_bound = 7s;

/// By then a VM that died is known to be dead; later it is not.
constexpr duration death_bound = 20s;

constexpr std::array document_names{
    route_document_name, upstream_document_name, evacuation_document_name};

using document_versions = std::array<document_version, document_names.size()>;

/// Precondition: the name is that of a registry's document.
std::size_t index_of(std::string_view name)
{
    auto const found = std::ranges::find(document_names, name);
    return static_cast<std::size_t>(found - document_names.begin());
}

duration thread_time()
{
    std::timespec spent{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return std::chrono::seconds(spent.tv_sec) +
           std::chrono::nanoseconds(spent.tv_nsec);
}

authenticator make_keys()
{
    static std::array<std::uint8_t, authenticator::secret_size> const secret{};
    authenticator::key const key{1, secret};
    return authenticator(std::span(&key, 1));
}

} // namespace

struct emulated_fleet::node
{
    std::unique_ptr<reducer> decides;
    /// Grows with each start: what was meant for an earlier life is dropped.
    std::uint32_t life = 0;
    bool is_running = false;
    bool has_read_platform = false;
    std::optional<time_point> watch_deadline;
    document_versions told{};
    document_versions in_force{};
    std::uint64_t generation = 0;
    time_point started_at;
    time_point frozen_until;
    /// The deadline for which the agenda has an entry.
    std::optional<time_point> awaited;
};

emulated_fleet::emulated_fleet(topology const& shape, std::uint64_t chosen_seed)
    : where(shape), between_vms(this->where), seed(chosen_seed),
      random(chosen_seed), time(time_point(std::chrono::hours(1))),
      store(this->where, chosen_seed), counted(shape.vms), keys(make_keys())
{
    for (std::uint32_t vm = 0; vm < shape.vms; ++vm)
        this->nodes.push_back(std::make_unique<node>());
    // In three failure domains, as far as there are so many.
    for (std::uint32_t vm = 0; vm < std::min(shape.vms, seed_count); ++vm)
        this->seeds.push_back(vm);
}

emulated_fleet::~emulated_fleet() = default;

void emulated_fleet::start_all()
{
    std::vector<std::uint32_t> all(this->nodes.size());
    std::iota(all.begin(), all.end(), 0U);
    this->start(all);
}

void emulated_fleet::start(std::vector<std::uint32_t> const& vms)
{
    this->kill(vms);
    for (std::uint32_t const vm : vms)
    {
        duration const delay(
            this->random() % static_cast<std::uint64_t>(start_spread.count()));
        this->time.add(
            this->time.now() + delay,
            [this, vm]
            {
                this->start_one(vm);
            });
    }
}

void emulated_fleet::start_one(std::uint32_t vm)
{
    node& started = *this->nodes[vm];
    ++started.life;
    started.is_running = true;
    started.has_read_platform = false;
    started.watch_deadline.reset();
    started.told = {};
    started.in_force = {};
    started.generation = 0;
    started.started_at = this->time.now();
    started.frozen_until = {};
    started.awaited.reset();
    reducer_settings settings;
    settings.self = {
        this->where.vm(vm),
        make_failure_domain_id(layout::domain_name(this->where.domain_of(vm)))};
    settings.memory = flow_memory::tags;
    settings.tagging.placement = this->where.shape().placement;
    settings.membership.scope = member_scope::failure_domain;
    // As deploy/ sets them.
    settings.versions.join_timeout = 1s;
    settings.versions.watch_wait = 2s;
    settings.versions.reader_patience = 1'200ms;
    settings.handover.stop_grace = 6s;
    for (std::uint32_t const each : this->seeds)
        settings.seeds.push_back(this->where.vm(each));
    settings.random_seed = this->seed + started.life;
    started.decides = std::make_unique<reducer>(settings);
    auto const wall_clock =
        static_cast<std::uint64_t>(this->time.now().time_since_epoch() / 1ms);
    this->apply(vm, cairnhead::started{wall_clock});
    this->tick(vm, started.life);
}

void emulated_fleet::kill(std::vector<std::uint32_t> const& vms)
{
    for (std::uint32_t const vm : vms)
    {
        node& killed = *this->nodes[vm];
        ++killed.life;
        killed.is_running = false;
        killed.decides.reset();
    }
}

void emulated_fleet::restart(
    std::vector<std::uint32_t> const& vms, duration after)
{
    this->kill(vms);
    this->time.add(
        this->time.now() + after,
        [this, vms]
        {
            this->start(vms);
        });
}

void emulated_fleet::leave(std::vector<std::uint32_t> const& vms)
{
    for (std::uint32_t const vm : vms)
        this->apply(vm, leave_requested{});
}

void emulated_fleet::leave_and_return(
    std::vector<std::uint32_t> const& vms, duration time_to_start)
{
    this->leave(vms);
    for (std::uint32_t const vm : vms)
        this->start_when_ended(vm, this->nodes[vm]->life, time_to_start);
}

void emulated_fleet::start_when_ended(
    std::uint32_t vm, std::uint32_t life, duration time_to_start)
{
    bool const has_ended = this->nodes[vm]->life != life;
    this->time.add(
        this->time.now() + (has_ended ? time_to_start : look_period),
        [=, this]
        {
            if (has_ended)
                this->start({vm});
            else
                this->start_when_ended(vm, life, time_to_start);
        });
}

void emulated_fleet::freeze(
    std::vector<std::uint32_t> const& vms, duration length)
{
    for (std::uint32_t const vm : vms)
        this->nodes[vm]->frozen_until = this->time.now() + length;
}

void emulated_fleet::publish(std::function<void(registry_store&)> const& change)
{
    document_versions before{};
    for (std::string_view const name : document_names)
        before[index_of(name)] = this->store.version_of(name);
    change(this->store);
    for (std::string_view const name : document_names)
    {
        if (this->store.version_of(name) != before[index_of(name)])
            this->published(name);
    }
}

void emulated_fleet::pass(std::uint32_t vm, packet_arrived const& packet)
{
    this->apply(vm, packet);
}

void emulated_fleet::end_check(
    std::uint32_t vm, std::uint32_t life, upstream_checked result)
{
    if (this->nodes[vm]->life == life)
        this->apply(vm, result);
}

void emulated_fleet::set_packet_effects(packet_effects carry_out_by)
{
    this->packet_listener = std::move(carry_out_by);
}

bool emulated_fleet::is_running(std::uint32_t vm) const
{
    return this->nodes[vm]->is_running;
}

std::uint32_t emulated_fleet::life_of(std::uint32_t vm) const
{
    return this->nodes[vm]->life;
}

bool emulated_fleet::is_ready(std::uint32_t vm) const
{
    return this->is_running(vm) && !this->is_frozen(vm) &&
           this->nodes[vm]->decides->is_ready();
}

bool emulated_fleet::takes_in(
    std::uint32_t vm, packet_phase phase, duration waited) const
{
    node const& asked = *this->nodes[vm];
    bool const reads_socket =
        asked.decides->can_forward_flows() ||
        this->time.now() >= asked.started_at + longest_start;
    bool const must_wait = is_opening_phase(phase) &&
                           !asked.decides->can_place_openings() &&
                           waited < longest_opening_wait;
    return reads_socket && !must_wait;
}

time_point emulated_fleet::thaws_at(std::uint32_t vm) const
{
    return this->nodes[vm]->frozen_until;
}

bool emulated_fleet::is_frozen(std::uint32_t vm) const
{
    return this->time.now() < this->nodes[vm]->frozen_until;
}

registry_store const& emulated_fleet::registry() const
{
    return this->store;
}

agenda& emulated_fleet::schedule()
{
    return this->time;
}

vm_network& emulated_fleet::network()
{
    return this->between_vms;
}

void emulated_fleet::set_platform(platform_condition condition)
{
    this->platform = condition;
}

void emulated_fleet::replace_upstreams(std::uint32_t count)
{
    this->store.replace_upstreams(count);
    this->published(upstream_document_name);
}

void emulated_fleet::change_route()
{
    this->store.change_route();
    this->published(route_document_name);
}

void emulated_fleet::add_routes(std::uint32_t count)
{
    this->store.add_routes(count);
    this->published(route_document_name);
}

void emulated_fleet::published(std::string_view name)
{
    this->counted.note_published(
        this->time.now(), index_of(name), this->store.version_of(name));
}

void emulated_fleet::run_for(duration length)
{
    this->time.run_for(length);
}

std::vector<std::uint32_t> emulated_fleet::pick_running(std::uint32_t count)
{
    std::vector<std::uint32_t> running;
    for (std::uint32_t vm = 0; vm < this->nodes.size(); ++vm)
    {
        if (this->nodes[vm]->is_running)
            running.push_back(vm);
    }
    std::ranges::shuffle(running, this->random);
    running.resize(std::min<std::size_t>(running.size(), count));
    return running;
}

std::vector<std::uint32_t>
emulated_fleet::pick_domain(std::uint32_t domain, std::uint32_t count) const
{
    std::vector<std::uint32_t> picked;
    for (std::uint32_t vm = 0; vm < this->nodes.size() && picked.size() < count;
         ++vm)
    {
        if (this->where.domain_of(vm) == domain)
            picked.push_back(vm);
    }
    return picked;
}

std::uint32_t emulated_fleet::count_informed() const
{
    return static_cast<std::uint32_t>(std::ranges::count_if(
        this->nodes,
        [](auto const& each)
        {
            return each->is_running && each->decides->can_place_openings();
        }));
}

std::uint32_t emulated_fleet::count_running() const
{
    return static_cast<std::uint32_t>(std::ranges::count_if(
        this->nodes,
        [](auto const& each)
        {
            return each->is_running;
        }));
}

time_point emulated_fleet::now() const
{
    return this->time.now();
}

fleet_meter& emulated_fleet::meter()
{
    return this->counted;
}

layout const& emulated_fleet::place() const
{
    return this->where;
}

reducer const& emulated_fleet::reducer_of(std::uint32_t vm) const
{
    return *this->nodes[vm]->decides;
}

void emulated_fleet::find_late_changes()
{
    for (change_progress const& change : this->counted.changes())
    {
        if (this->time.now() < change.published_at + in_force_bound)
            continue;
        for (std::uint32_t vm = 0; vm < this->nodes.size(); ++vm)
        {
            node const& each = *this->nodes[vm];
            bool const could_learn =
                each.is_running && this->is_reading(vm) &&
                this->time.now() >= each.started_at + in_force_bound;
            if (could_learn && !change.is_in_force[vm])
                this->counted.note_violation(violation::change_late);
        }
    }
}

void emulated_fleet::tick(std::uint32_t vm, std::uint32_t life)
{
    node const& ticking = *this->nodes[vm];
    if (!ticking.is_running || ticking.life != life)
        return;
    this->apply(vm, cairnhead::tick{});
    this->time.add(
        this->time.now() + tick_period,
        [this, vm, life]
        {
            this->tick(vm, life);
        });
}

void emulated_fleet::apply(std::uint32_t vm, event::body_type body)
{
    node& target = *this->nodes[vm];
    if (!target.is_running)
        return;
    // A timer that fires again while nobody reads it fires once.
    if (this->is_frozen(vm) && std::holds_alternative<cairnhead::tick>(body))
        return;
    if (this->is_frozen(vm))
        return this->time.add(
            target.frozen_until,
            [this, vm, life = target.life, body = std::move(body)]
            {
                if (this->nodes[vm]->life == life)
                    this->apply(vm, body);
            });
    effect_list effects;
    duration const begin = thread_time();
    target.decides->apply({this->time.now(), std::move(body)}, effects);
    this->counted.note_time(vm, thread_time() - begin);
    this->note_versions(vm);
    this->carry_out(vm, effects);
    this->await_deadline(vm);
}

void emulated_fleet::await_deadline(std::uint32_t vm)
{
    node& waiting = *this->nodes[vm];
    if (!waiting.is_running)
        return;
    auto const due = waiting.decides->next_due();
    bool const is_awaited = waiting.awaited && due && *waiting.awaited <= *due;
    if (!due || is_awaited)
        return;
    waiting.awaited = due;
    this->schedule_for(
        vm, std::max(*due - this->time.now(), duration{}),
        [this, vm]
        {
            this->nodes[vm]->awaited.reset();
            this->apply(vm, deadline_reached{});
        });
}

void emulated_fleet::note_versions(std::uint32_t vm)
{
    node& seen = *this->nodes[vm];
    auto const generation = seen.decides->documents().generation();
    if (generation == seen.generation)
        return;
    seen.generation = generation;
    for (document_stamp const& stamp : seen.decides->documents().stamps())
    {
        auto const index = index_of(stamp.name);
        if (stamp.version < seen.in_force[index])
            this->counted.note_violation(violation::version_fell);
        seen.in_force[index] = stamp.version;
        this->counted.note_in_force(this->time.now(), vm, index, stamp.version);
    }
}

void emulated_fleet::schedule_for(
    std::uint32_t vm, duration delay, std::function<void()> action)
{
    this->time.add(
        this->time.now() + delay,
        [this, vm, life = this->nodes[vm]->life, action = std::move(action)]
        {
            if (this->nodes[vm]->life == life)
                action();
        });
}

void emulated_fleet::carry_out(std::uint32_t vm, effect_list const& effects)
{
    for (effect const& each : effects)
    {
        if (auto const* const wanted = std::get_if<send_control>(&each))
            this->carry_out(vm, *wanted);
        if (auto const* const wanted = std::get_if<watch_platform>(&each))
            this->carry_out(vm, *wanted);
        if (std::holds_alternative<read_upstreams>(each))
            this->read_stale_upstreams(vm);
        if (auto const* const wanted = std::get_if<fetch_document>(&each))
            this->carry_out(vm, *wanted);
        if (auto const* const told = std::get_if<report>(&each))
            this->carry_out(vm, *told);
        if (std::holds_alternative<leave_complete>(each))
            this->kill({vm});
        if (this->packet_listener != nullptr)
            this->packet_listener(vm, each);
    }
}

bool emulated_fleet::is_connected(
    std::uint32_t first, std::uint32_t second) const
{
    return this->are_connected(
        this->where.domain_of(first), this->where.domain_of(second));
}

bool emulated_fleet::are_connected(std::uint32_t from, std::uint32_t to) const
{
    return this->between_vms.are_connected(from, to);
}

bool emulated_fleet::is_reading(std::uint32_t vm) const
{
    return this->platform == platform_condition::good &&
           this->between_vms.reaches_platform(this->where.domain_of(vm));
}

duration emulated_fleet::send_time(std::uint32_t vm, std::size_t bytes)
{
    time_point const now = this->time.now();
    return this->between_vms.send(now, vm, bytes) - now;
}

std::size_t
emulated_fleet::encoded_size(std::uint32_t vm, control_body const& body)
{
    this->datagram.assign(authenticator::prefix_size, 0);
    encode_control({this->where.vm(vm), body}, this->datagram);
    this->datagram.resize(this->datagram.size() + authenticator::tag_size);
    this->keys.sign(
        this->datagram, static_cast<std::uint8_t>(datagram_kind::control));
    return this->datagram.size();
}

void emulated_fleet::carry_out(std::uint32_t vm, send_control const& wanted)
{
    duration const begin = thread_time();
    std::size_t const size = this->encoded_size(vm, wanted.body);
    duration const encoding = thread_time() - begin;
    this->counted.note_time(vm, encoding);
    if (!this->where.has(wanted.target))
        return;
    auto const target = this->where.number_of(wanted.target);
    bool const is_between =
        this->where.domain_of(vm) != this->where.domain_of(target);
    this->counted.note_message(
        vm, target, size + datagram_overhead, is_between, wanted.body.index());
    duration const sent = this->send_time(vm, size + datagram_overhead);
    constexpr std::uint64_t per_thousand = 1'000;
    bool const is_lost =
        !this->is_connected(vm, target) || !this->nodes[target]->is_running ||
        this->random() % per_thousand < this->where.shape().lost_permille;
    if (is_lost)
        return;
    // The receiver checks and reads what the sender wrote.
    this->counted.note_time(target, encoding);
    this->schedule_for(
        target, sent + this->where.delay(vm, target),
        [this, target,
         message = control_message{this->where.vm(vm), wanted.body}]
        {
            this->apply(target, control_arrived{message});
        });
}

void emulated_fleet::carry_out(std::uint32_t vm, watch_platform const& wanted)
{
    node& watching = *this->nodes[vm];
    bool const is_watching = watching.watch_deadline.has_value();
    watching.watch_deadline = this->time.now() + wanted.wait;
    // It takes the place of the one in progress, whose calls go on.
    if (is_watching)
        return;
    // The platform's history is taken to be long enough for all who go on.
    if (wanted.known && wanted.known->routes && wanted.known->upstreams)
        watching.has_read_platform = true;
    duration const delay =
        watching.has_read_platform ? call_period : duration{};
    this->schedule_for(
        vm, delay,
        [this, vm, extent = wanted.extent]
        {
            bool const is_beyond_extent = !this->nodes[vm]->has_read_platform &&
                                          extent == reading_extent::one_page &&
                                          this->store.pages() > 1;
            if (is_beyond_extent)
                this->call_in_vain(vm);
            else
                this->call_platform(vm);
        });
}

void emulated_fleet::call_in_vain(std::uint32_t vm)
{
    this->nodes[vm]->watch_deadline.reset();
    if (!this->is_reading(vm))
        return this->apply(vm, platform_failed{});
    this->counted.note_platform_call(
        vm, this->store.complete_bytes() / this->store.pages());
    this->schedule_for(
        vm, call_time,
        [this, vm]
        {
            platform_listed nothing;
            nothing.is_beyond_extent = true;
            this->apply(vm, std::move(nothing));
        });
}

void emulated_fleet::call_platform(std::uint32_t vm)
{
    node& reading = *this->nodes[vm];
    if (!this->is_reading(vm))
    {
        reading.watch_deadline.reset();
        return this->apply(vm, platform_failed{});
    }
    std::uint32_t const calls =
        reading.has_read_platform ? 1 : this->store.pages() + 1;
    std::uint64_t const bytes =
        reading.has_read_platform ? call_bytes : this->store.complete_bytes();
    for (std::uint32_t call = 0; call < calls; ++call)
        this->counted.note_platform_call(vm, bytes / calls);
    bool const is_complete = !std::exchange(reading.has_read_platform, true);
    // The upstreams' pages come before what operators wrote.
    if (is_complete)
        this->tell_upstreams(
            vm, call_time * static_cast<int>(this->store.pages()) +
                    this->send_time(vm, this->store.upstream_bytes()));
    std::uint64_t const left =
        is_complete ? bytes - this->store.upstream_bytes() : bytes;
    this->schedule_for(
        vm, call_time * static_cast<int>(calls) + this->send_time(vm, left),
        [this, vm]
        {
            this->answer_watch(vm);
        });
}

void emulated_fleet::answer_watch(std::uint32_t vm)
{
    node& reading = *this->nodes[vm];
    if (!reading.watch_deadline)
        return;
    auto const& told = reading.told;
    this->apply(
        vm, platform_answered{
                platform_index(std::ranges::max(told).value()), told[0],
                told[1], told[2]});
    platform_listed listed;
    bool has_news = false;
    std::uint64_t highest = 0;
    for (std::string_view const name : document_names)
    {
        auto const version = this->store.version_of(name);
        has_news |= version > reading.told[index_of(name)];
        reading.told[index_of(name)] = version;
        listed.documents.push_back({std::string(name), version});
        highest = std::max(highest, version.value());
    }
    if (!has_news && this->time.now() < *reading.watch_deadline)
        return this->schedule_for(
            vm, call_period,
            [this, vm]
            {
                this->call_platform(vm);
            });
    reading.watch_deadline.reset();
    listed.index = platform_index(highest);
    this->apply(vm, std::move(listed));
}

void emulated_fleet::read_stale_upstreams(std::uint32_t vm)
{
    if (!this->is_reading(vm))
        return;
    // Such reads aren't counted as calls, as the store doesn't count them.
    std::uint32_t const pages =
        std::min(this->store.pages(), maximum_stale_pages);
    duration const taken =
        call_time * static_cast<int>(pages) +
        this->send_time(
            vm, this->store.upstream_bytes() / this->store.pages() * pages);
    if (pages == this->store.pages())
        this->tell_upstreams(vm, taken);
}

void emulated_fleet::tell_upstreams(std::uint32_t vm, duration after)
{
    this->schedule_for(
        vm, after,
        [this, vm]
        {
            this->apply(
                vm, upstreams_read{std::make_shared<upstream_listing const>(
                        this->store.upstreams_now())});
        });
}

void emulated_fleet::carry_out(std::uint32_t vm, fetch_document const& wanted)
{
    if (wanted.source)
        this->fetch_from_peer(vm, wanted);
    else
        this->fetch_from_platform(vm, wanted);
}

void emulated_fleet::fetch_from_platform(
    std::uint32_t vm, fetch_document const& wanted)
{
    // The reader's own mirror has it: no call.
    this->schedule_for(
        vm, duration{},
        [this, vm, wanted]
        {
            if (!this->nodes[vm]->has_read_platform)
                return this->apply(
                    vm, document_fetch_failed{std::nullopt, wanted.name});
            this->apply(
                vm, document_fetched{
                        std::nullopt, wanted.name,
                        this->store.version_of(wanted.name),
                        *this->store.text_for(wanted.name, wanted.held)});
        });
}

void emulated_fleet::fetch_from_peer(
    std::uint32_t vm, fetch_document const& wanted)
{
    document_fetch_failed const failed{wanted.source, wanted.name};
    bool const is_there = this->where.has(*wanted.source);
    auto const source = is_there ? this->where.number_of(*wanted.source) : vm;
    if (!is_there || !this->is_connected(vm, source) ||
        !this->nodes[source]->is_running)
        return this->schedule_for(
            vm, 2s,
            [this, vm, failed]
            {
                this->apply(vm, failed);
            });
    // To connect and to ask take a round trip each.
    duration const way = this->where.delay(vm, source);
    this->schedule_for(
        source, way * 3,
        [this, vm, source, wanted, failed, way, life = this->nodes[vm]->life]
        {
            duration const begin = thread_time();
            auto const held =
                this->nodes[source]->decides->documents().find_document(
                    wanted.name, wanted.held);
            this->counted.note_time(source, thread_time() - begin);
            bool const is_given = held && held->version >= wanted.version;
            std::size_t const bytes =
                fetch_overhead + (is_given ? held->text->size() : 0);
            this->counted.note_message(
                source, vm, bytes,
                this->where.domain_of(vm) != this->where.domain_of(source),
                std::variant_size_v<control_body>);
            // The receiver takes in what comes while the sender sends on.
            duration const sent = std::max(
                this->send_time(source, bytes), this->send_time(vm, bytes));
            this->time.add(
                this->time.now() + sent + way,
                [this, vm, life, is_given, failed, wanted, held]
                {
                    if (this->nodes[vm]->life != life)
                        return;
                    if (!is_given)
                        return this->apply(vm, failed);
                    this->apply(
                        vm, document_fetched{
                                wanted.source, wanted.name, held->version,
                                *held->text});
                });
        });
}

void emulated_fleet::carry_out(std::uint32_t, report const& told)
{
    if (told.kind != report_kind::member_died)
        return;
    auto const address = parse_ipv4(told.subject);
    if (!address || !this->where.has(vm_id(address->value())))
        return;
    // Only VMs of the own failure domain are members, and domains are not cut
    // within: whoever has run for a while can be reached.
    node const& subject =
        *this->nodes[this->where.number_of(vm_id(address->value()))];
    bool const was_frozen =
        this->time.now() < subject.frozen_until + death_bound &&
        subject.frozen_until != time_point();
    bool const is_wrong = subject.is_running && !was_frozen &&
                          this->time.now() > subject.started_at + death_bound;
    if (is_wrong)
        this->counted.note_violation(violation::wrong_death);
}

} // namespace cairnhead::emulator
