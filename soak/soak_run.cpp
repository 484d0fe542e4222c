#include <soak/soak_run.hpp>

#include <base/hash.hpp>
#include <base/ipv4.hpp>

#include <algorithm>
#include <csignal>
#include <ctime>
#include <poll.h>

namespace cairnhead::soak
{

namespace
{

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

constexpr int store_port = 8500;
constexpr std::uint16_t first_link_port = 8600;
constexpr int callers_host = 30;
constexpr int first_vm_host = 100;
constexpr int hosts_of_a_network = 100;
/// VMs listen to their peers in a network so far below the run's own.
constexpr int networks_behind = 100;

constexpr std::uint16_t listings_port = 443;
constexpr std::uint16_t media_port = 444;
constexpr std::uint16_t first_extra_port = 1000;

/// VMs that do not come up within this do not come up.
constexpr duration start_bound = 30s;
/// A process needs less to start and learn the registry.
constexpr duration start_time = 3s;
/// What settings call stop_grace.
constexpr duration leave_bound = 6s;
/// The users' bound: a fabric has given up a VM so long after it was told to
/// stop.
constexpr duration out_of_use_bound = 4s;
/// A change is in force everywhere by then.
constexpr duration change_bound = 3500ms;
/// After the last fault, the users' bound on recovery.
constexpr duration recovery_time = 12s;
/// The end of a run in which recovery is measured.
constexpr duration recovery_window = 4s;
constexpr double recovered_share = 0.98;

constexpr duration slow_store = 600ms;

/// Bounds on a VM with a few hundred flows: several times what it uses.
constexpr std::uint64_t most_resident_kilobytes = 128 * 1024;
constexpr std::uint64_t most_threads = 32;
constexpr std::uint64_t most_descriptors = 400;

time_point read_clock()
{
    timespec reading{};
    ::clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point(
        std::chrono::seconds(reading.tv_sec) +
        std::chrono::nanoseconds(reading.tv_nsec));
}

std::string name_of_domain(std::uint32_t number)
{
    return number % 2 == 0 ? "stirling" : "perth";
}

} // namespace

soak_run::soak_run(scenario chosen, soak_places const& where)
    : plan(std::move(chosen)), places(where), addresses(where.network),
      time(read_clock()), disturbed(this->plan.vms),
      path(this->time, this->plan.seed),
      store(this->addresses.platform(), store_port)
{
    this->publish_routes();
    this->make_vms();
    this->upstreams = std::make_unique<soak_upstreams>(
        soak_upstreams::parties{
            this->time, this->store, this->seen, this->disturbed, this->path,
            [this](upstream_answer const& answer)
            {
                this->callers->receive(answer);
            },
            [this](std::uint16_t port)
            {
                return this->callers->flow_of(port);
            },
            [this](ipv4_address address)
            {
                return this->vm_at(address);
            },
            [this](std::uint16_t port, std::string const& pool)
            {
                return this->leads_to(port, pool);
            }},
        std::vector<std::string>{name_of_domain(0), name_of_domain(1)},
        [this](std::uint32_t number)
        {
            thin_path::address_plan const next(
                this->places.network + 1 +
                static_cast<int>(number) / hosts_of_a_network);
            return next.host(1 + static_cast<int>(number) % hosts_of_a_network);
        });
    for (std::uint32_t number = 0; number < this->plan.upstreams; ++number)
        this->upstreams->start(number % 4 < 2 ? "listings" : "media", number);
    this->callers = std::make_unique<soak_callers>(
        soak_callers::parties{
            this->time, this->seen, this->disturbed, this->path,
            *this->upstreams,
            [this](std::uint32_t caller, std::uint16_t port)
            {
                return this->choose_vm(caller, port);
            },
            [this](std::size_t vm)
            {
                return this->vms[vm].vm->entrance();
            },
            [this](ipv4_address address)
            {
                return this->vm_at(address);
            },
            [](std::uint64_t draw)
            {
                return draw % 4 < 3 ? soak_route{listings_port, "listings"}
                                    : soak_route{media_port, "media"};
            }},
        socket_address{
            parse_ipv4(this->addresses.host(callers_host)).value(),
            entry_vm::fabric_port},
        this->plan.callers, this->plan.seed);
}

void soak_run::make_vms()
{
    std::vector<std::string> seeds;
    for (std::uint32_t number = 0; number < std::min(this->plan.vms, 3U);
         ++number)
        seeds.push_back(
            this->addresses.host(first_vm_host + static_cast<int>(number)));
    for (std::uint32_t number = 0; number < this->plan.vms; ++number)
    {
        auto const port = static_cast<std::uint16_t>(first_link_port + number);
        vm_state added;
        added.link = std::make_unique<tcp_proxy>(
            socket_address{
                parse_ipv4(this->addresses.platform()).value(), port},
            socket_address{
                parse_ipv4(this->addresses.platform()).value(), store_port});
        int const host = first_vm_host + static_cast<int>(number);
        std::string const known = this->addresses.host(host);
        std::string const behind =
            thin_path::address_plan(this->places.network - networks_behind)
                .host(host);
        auto const at = [](std::string const& address, std::uint16_t listened)
        {
            return socket_address{parse_ipv4(address).value(), listened};
        };
        added.peer_address = parse_ipv4(behind).value();
        added.relay = std::make_unique<peer_relay>(
            at(known, entry_vm::peer_port), at(behind, entry_vm::peer_port));
        added.documents = std::make_unique<tcp_proxy>(
            at(known, entry_vm::document_port),
            at(behind, entry_vm::document_port));
        added.vm = std::make_unique<entry_vm>(entry_vm_plan{
            this->places.program, known, behind, name_of_domain(number),
            this->addresses.platform(), port, seeds, this->places.folder,
            "vm-" + std::to_string(number), this->plan.placement});
        this->vms.push_back(std::move(added));
    }
}

void soak_run::publish_routes()
{
    this->configuration += 3;
    std::string routes = samples::make_route(listings_port, "listings") + "," +
                         samples::make_route(media_port, "media");
    if (this->extra_port != 0)
        routes += "," + samples::make_route(this->extra_port, "listings");
    this->store.put(
        std::string(configuration_key),
        samples::make_configuration(this->configuration, routes));
}

time_point soak_run::now() const
{
    return this->time.now();
}

soak_record const& soak_run::record() const
{
    return this->seen;
}

void soak_run::play(std::function<void(std::string const&)> const& progress)
{
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm)
    {
        this->vms[vm].vm->start();
        this->vms[vm].is_meant_to_run = true;
    }
    time_point const give_up_at = this->now() + start_bound;
    while (!this->are_all_ready() && this->now() < give_up_at)
        this->step();
    if (!this->are_all_ready())
        return this->seen.note(
            this->now(), broken_promise::not_recovered, "at=start");
    this->callers->begin();
    time_point const begun = this->now();
    time_point last = begun + this->plan.length;
    for (fault const& each : this->plan.faults)
    {
        this->run_until(begun + each.at);
        progress(std::string(to_text(each.kind)));
        this->strike(each);
        last = std::max(last, this->now() + each.length);
    }
    this->run_until(last + recovery_time - recovery_window);
    auto const requests = this->seen.requests();
    auto const answered = this->seen.ended(emulator::request_end::answered);
    this->run_until(last + recovery_time);
    this->check_recovery(requests, answered);
    this->check_usage();
}

bool soak_run::are_all_ready() const
{
    return std::ranges::all_of(
        this->vms,
        [](vm_state const& each)
        {
            return each.vm->is_in_rotation();
        });
}

void soak_run::run_until(time_point end)
{
    while (this->now() < end)
        this->step();
}

void soak_run::step()
{
    std::vector<pollfd> asked{{this->callers->descriptor(), POLLIN, 0}};
    for (int const descriptor : this->upstreams->descriptors())
        asked.push_back({descriptor, POLLIN, 0});
    constexpr int longest_wait_milliseconds = 2;
    ::poll(asked.data(), asked.size(), longest_wait_milliseconds);
    this->time.run_for(read_clock() - this->time.now());
    this->upstreams->serve();
    this->callers->receive_resets();
    this->look_after_vms();
}

void soak_run::look_after_vms()
{
    for (std::size_t number = 0; number < this->vms.size(); ++number)
    {
        vm_state& each = this->vms[number];
        std::string const what = "vm=" + std::to_string(number);
        bool const has_left = each.leaves_by && each.vm->has_ended();
        if (has_left)
        {
            if (each.vm->exit_status() != 0)
                this->seen.note(
                    this->now(), broken_promise::vm_ended,
                    what + " at=leave status=" +
                        std::to_string(each.vm->exit_status()));
            this->restart(number);
            continue;
        }
        bool const is_late =
            each.leaves_by && this->now() > *each.leaves_by && !each.is_paused;
        if (is_late)
        {
            this->seen.note(
                this->now(), broken_promise::vm_ended, what + " at=no_leave");
            each.vm->signal(SIGKILL);
            this->restart(number);
            continue;
        }
        if (!each.is_meant_to_run || each.leaves_by || !each.vm->has_ended())
            continue;
        this->seen.note(
            this->now(), broken_promise::vm_ended,
            what + " status=" + std::to_string(each.vm->exit_status()));
        this->restart(number);
    }
}

void soak_run::restart(std::size_t vm)
{
    vm_state& started = this->vms[vm];
    started.leaves_by.reset();
    started.is_meant_to_run = true;
    started.is_paused = false;
    started.vm->start();
    this->disturbed.note_vm(vm, this->now() + start_time);
}

void soak_run::strike(fault const& what)
{
    std::size_t const vm = what.target % this->vms.size();
    switch (what.kind)
    {
    case fault_kind::kill_vm:
    case fault_kind::stop_vm:
    case fault_kind::pause_vm:
    case fault_kind::reload_settings:
    case fault_kind::change_settings:
        return this->strike_vm(what, vm);
    case fault_kind::store_down:
    case fault_kind::store_slow:
    case fault_kind::store_forgets:
        return this->strike_store(what);
    case fault_kind::link_silent:
    case fault_kind::link_reset:
    case fault_kind::link_one_way:
    case fault_kind::link_slow:
        return this->strike_link(what, vm);
    case fault_kind::packets_lost:
        return this->strike_packets(packet_harm::lost, what.length);
    case fault_kind::packets_doubled:
        return this->strike_packets(packet_harm::doubled, what.length);
    case fault_kind::packets_late:
        return this->strike_packets(packet_harm::late, what.length);
    case fault_kind::drain_upstream:
    case fault_kind::crash_upstream:
    case fault_kind::lose_upstream:
    case fault_kind::reuse_address:
    case fault_kind::slow_upstream:
    case fault_kind::slow_upstreams:
    case fault_kind::failing_upstreams:
        return this->strike_upstream(what);
    case fault_kind::change_routes:
        return this->change_routes();
    case fault_kind::peers_cut:
    case fault_kind::peers_one_way:
        return this->strike_peers(what, vm);
    case fault_kind::peers_harmed:
        return this->harm_all_peers(what.length);
    }
}

void soak_run::strike_vm(fault const& what, std::size_t vm)
{
    vm_state& struck = this->vms[vm];
    bool const is_whole =
        struck.is_meant_to_run && !struck.leaves_by && !struck.is_paused;
    if (!is_whole)
        return;
    time_point const end = this->now() + what.length;
    switch (what.kind)
    {
    case fault_kind::kill_vm:
        struck.is_meant_to_run = false;
        struck.vm->signal(SIGKILL);
        this->disturbed.note_vm(vm, end + start_time);
        return this->time.add(
            end,
            [this, vm]
            {
                this->restart(vm);
            });
    case fault_kind::stop_vm:
        struck.leaves_by = this->now() + leave_bound;
        struck.vm->signal(SIGTERM);
        this->watch_stop(vm);
        return this->disturbed.note_vm(vm, *struck.leaves_by + start_time);
    case fault_kind::pause_vm:
        struck.is_paused = true;
        struck.vm->signal(SIGSTOP);
        this->disturbed.note_vm(vm, end);
        return this->time.add(
            end,
            [this, vm]
            {
                this->vms[vm].is_paused = false;
                this->vms[vm].vm->signal(SIGCONT);
            });
    case fault_kind::reload_settings:
        struck.vm->change_settings();
        return struck.vm->signal(SIGHUP);
    default:
        return struck.vm->change_settings();
    }
}

void soak_run::watch_stop(std::size_t vm)
{
    this->time.add(
        this->now() + out_of_use_bound,
        [this, vm, leaves_by = this->vms[vm].leaves_by]
        {
            vm_state const& stopped = this->vms[vm];
            // Another start of it may well be in use.
            bool const is_same_start = stopped.leaves_by == leaves_by;
            if (is_same_start && stopped.vm->is_in_rotation())
                this->seen.note(
                    this->now(), broken_promise::in_use_after_stop,
                    "vm=" + stopped.vm->name());
        });
}

void soak_run::strike_store(fault const& what)
{
    time_point const end = this->now() + what.length;
    this->disturbed.note_store(end);
    if (what.kind == fault_kind::store_forgets)
        return this->store.forget_history();
    bool const is_down = what.kind == fault_kind::store_down;
    if (is_down)
        this->store.set_down(true);
    else
        this->store.set_delay(
            std::chrono::duration_cast<std::chrono::milliseconds>(slow_store));
    this->time.add(
        end,
        [this, is_down]
        {
            if (is_down)
                this->store.set_down(false);
            else
                this->store.set_delay(std::chrono::milliseconds(0));
        });
}

void soak_run::strike_link(fault const& what, std::size_t vm)
{
    time_point const end = this->now() + what.length;
    link_condition condition = link_condition::slow;
    if (what.kind == fault_kind::link_silent)
        condition = link_condition::silent;
    if (what.kind == fault_kind::link_reset)
        condition = link_condition::reset;
    if (what.kind == fault_kind::link_one_way)
        condition = link_condition::one_way;
    this->vms[vm].link->set_condition(condition);
    this->disturbed.note_vm(vm, end);
    this->time.add(
        end,
        [this, vm]
        {
            this->vms[vm].link->set_condition(link_condition::good);
        });
}

void soak_run::strike_peers(fault const& what, std::size_t vm)
{
    bool const is_heard = what.kind == fault_kind::peers_one_way;
    time_point const end = this->now() + what.length;
    this->disturbed.note_peers(vm, end);
    this->vms[vm].relay->set_condition(peer_condition::cut);
    this->vms[vm].documents->set_condition(link_condition::silent);
    if (!is_heard)
        this->cut_sender(vm, true);
    this->time.add(
        end,
        [this, vm]
        {
            this->vms[vm].relay->set_condition(peer_condition::good);
            this->vms[vm].documents->set_condition(link_condition::good);
            this->cut_sender(vm, false);
        });
}

void soak_run::cut_sender(std::size_t vm, bool is_cut)
{
    if (is_cut)
        this->unheard.insert(this->vms[vm].peer_address);
    else
        this->unheard.erase(this->vms[vm].peer_address);
    for (vm_state const& each : this->vms)
        each.relay->set_cut_senders(this->unheard);
}

void soak_run::harm_all_peers(duration length)
{
    time_point const end = this->now() + length;
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm)
    {
        this->disturbed.note_peers(vm, end);
        this->vms[vm].relay->set_condition(peer_condition::harmed);
        this->time.add(
            end,
            [this, vm]
            {
                this->vms[vm].relay->set_condition(peer_condition::good);
            });
    }
}

void soak_run::strike_packets(packet_harm kind, duration length)
{
    time_point const end = this->now() + length;
    this->path.harm(kind, end);
    this->disturbed.note_packets(end);
}

void soak_run::strike_upstream(fault const& what)
{
    using emulator::upstream_life;
    switch (what.kind)
    {
    case fault_kind::drain_upstream:
        return this->upstreams->drain(what.target);
    case fault_kind::crash_upstream:
        return this->upstreams->kill(
            what.target, upstream_life::refusing, false);
    case fault_kind::lose_upstream:
        return this->upstreams->kill(what.target, upstream_life::silent, false);
    case fault_kind::reuse_address:
        return this->upstreams->kill(what.target, upstream_life::silent, true);
    case fault_kind::slow_upstreams:
        return this->upstreams->slow_down_many(
            what.target, this->now() + what.length);
    case fault_kind::failing_upstreams:
        return this->upstreams->fail_many(
            what.target, this->now() + what.length);
    default:
        return this->upstreams->slow_down(
            what.target, this->now() + what.length);
    }
}

void soak_run::change_routes()
{
    std::uint16_t const dropped = this->extra_port;
    this->extra_port =
        static_cast<std::uint16_t>(first_extra_port + this->extra_ports.size());
    this->extra_ports.push_back(this->extra_port);
    this->publish_routes();
    this->time.add(
        this->now() + change_bound,
        [this, added = this->extra_port, dropped, changed_at = this->now()]
        {
            this->probe_routes(added, dropped, changed_at);
        });
}

void soak_run::probe_routes(
    std::uint16_t added, std::uint16_t dropped, time_point changed_at)
{
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm)
    {
        bool const is_bound = this->vms[vm].is_meant_to_run &&
                              this->disturbed.is_vm_informed(vm, changed_at);
        if (!is_bound)
            continue;
        if (added == this->extra_port)
            this->callers->probe(
                vm, {added, "listings"}, probe_expectation::served);
        if (dropped != 0)
            this->callers->probe(
                vm, {dropped, "listings"}, probe_expectation::not_served);
    }
}

std::optional<std::size_t>
soak_run::choose_vm(std::uint32_t caller, std::uint16_t port) const
{
    std::vector<std::size_t> own;
    std::vector<std::size_t> ready;
    std::vector<std::size_t> elsewhere;
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm)
    {
        bool const is_own =
            this->vms[vm].vm->failure_domain() == name_of_domain(caller);
        bool const is_used = this->vms[vm].vm->is_in_rotation();
        if (is_own)
            own.push_back(vm);
        if (is_own && is_used)
            ready.push_back(vm);
        if (!is_own && is_used)
            elsewhere.push_back(vm);
    }
    // Rather VMs that may be late than a few that take what all did.
    bool const are_too_few = !ready.empty() && ready.size() * 2 < own.size();
    auto const& used = are_too_few ? own : ready.empty() ? elsewhere : ready;
    if (used.empty())
        return std::nullopt;
    return *std::ranges::max_element(
        used, {},
        [port](std::size_t vm)
        {
            return hash_pair(port, vm);
        });
}

std::size_t soak_run::vm_at(ipv4_address address) const
{
    auto const known = std::ranges::find(
        this->vms, address,
        [](vm_state const& each)
        {
            return each.vm->entrance().address;
        });
    return known == this->vms.end()
               ? 0
               : static_cast<std::size_t>(known - this->vms.begin());
}

bool soak_run::leads_to(std::uint16_t port, std::string const& pool) const
{
    if (port == media_port)
        return pool == "media";
    bool const is_known =
        port == listings_port ||
        std::ranges::find(this->extra_ports, port) != this->extra_ports.end();
    return is_known && pool == "listings";
}

void soak_run::check_recovery(
    std::uint64_t requests_before, std::uint64_t answered_before)
{
    auto const requests = this->seen.requests() - requests_before;
    auto const answered =
        this->seen.ended(emulator::request_end::answered) - answered_before;
    bool const is_served =
        requests > 0 && static_cast<double>(answered) >=
                            recovered_share * static_cast<double>(requests);
    if (!is_served)
        this->seen.note(
            this->now(), broken_promise::not_recovered,
            "requests=" + std::to_string(requests) +
                " answered=" + std::to_string(answered));
}

void soak_run::check_usage()
{
    for (vm_state const& each : this->vms)
    {
        if (each.vm->has_ended())
            continue;
        process_usage const used = each.vm->usage();
        bool const is_bounded =
            used.resident_kilobytes <= most_resident_kilobytes &&
            used.threads <= most_threads &&
            used.descriptors <= most_descriptors;
        if (!is_bounded)
            this->seen.note(
                this->now(), broken_promise::unbounded,
                each.vm->name() + " resident_kilobytes=" +
                    std::to_string(used.resident_kilobytes) +
                    " threads=" + std::to_string(used.threads) +
                    " descriptors=" + std::to_string(used.descriptors));
    }
}

} // namespace cairnhead::soak
