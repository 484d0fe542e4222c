#pragma once

#include <emulator/emulated_upstream.hpp>
#include <runtime/file_descriptor.hpp>
#include <runtime/udp_socket.hpp>
#include <soak/disturbances.hpp>
#include <soak/packet_path.hpp>
#include <soak/soak_record.hpp>
#include <tagged_path/packet.hpp>
#include <tagged_path/store.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cairnhead::soak
{

/// An answer on its way to a caller, as the caller will read it.
struct upstream_answer
{
    emulator::upstream_packet packet;
    /// What the upstream got last as the flow's tag.
    std::uint32_t tag = 0;
    /// The VM that handed on what is answered.
    std::size_t by_way_of = 0;
};

/// One upstream at real sockets: it takes datagrams of VMs, and connections of
/// their checks. Thread safety of all methods: none.
struct soak_upstream
{
    std::unique_ptr<emulator::emulated_upstream> serving;
    std::optional<udp_socket> socket;
    file_descriptor listener;
    std::vector<file_descriptor> fillers;
    time_point started_at;
    /// It, or its speed, was harmed until then.
    time_point disturbed_until;
    std::map<flow_number, std::uint32_t> tags;
    std::map<flow_number, std::size_t> vms;
};

/// The upstreams of all services, and their entries in the store.
/// Thread safety of all methods: none.
class soak_upstreams
{
public:
    struct parties
    {
        emulator::agenda& time;
        tagged_path::store& store;
        soak_record& record;
        disturbances const& disturbed;
        packet_path& path;
        std::function<void(upstream_answer const&)> answer;
        /// The flow of a caller's port, and the VM at an address.
        std::function<std::optional<flow_number>(std::uint16_t)> flow_of;
        std::function<std::size_t(ipv4_address)> vm_at;
        /// The service that a route's port leads to, now or lately.
        std::function<bool(std::uint16_t, std::string const&)> leads_to;
    };

    /// `host` gives the address of a number. Precondition: the parties outlive
    /// the object.
    soak_upstreams(
        parties others,
        std::vector<std::string> failure_domains,
        std::function<std::string(std::uint32_t)> host);

    /// Starts one of the service. No precondition.
    void start(std::string const& pool, std::uint32_t number);

    /// Takes what has arrived. No precondition.
    void serve();

    /// The descriptors that packets come by. No precondition.
    [[nodiscard]] std::vector<int> descriptors() const;

    /// Of those that serve, the target-th leaves, dies, or is slowed down. No
    /// precondition.
    void drain(std::uint32_t target);
    void
    kill(std::uint32_t target, emulator::upstream_life how, bool is_reused);
    void slow_down(std::uint32_t target, time_point until);

    /// A third of those that serve take longer, and a quarter answer with
    /// errors, each from the target-th on. No precondition.
    void slow_down_many(std::uint32_t target, time_point until);
    void fail_many(std::uint32_t target, time_point until);

    /// Whether the instance serves and nothing was done to it lately. No
    /// precondition.
    [[nodiscard]] bool
    is_living(instance_number instance, time_point now) const;

    /// Whether one of the service could take a flow, and has for a while. No
    /// precondition.
    [[nodiscard]] bool may_serve(std::string const& pool) const;

    /// The number-th of all that were started. Precondition: there are so
    /// many.
    [[nodiscard]] registered_upstream const& place_of(std::size_t number) const;

private:
    void
    add(std::string const& pool,
        std::string const& failure_domain,
        std::string const& address);
    void write_entry(soak_upstream const& of, std::string const& state);
    void remove_entry(instance_number instance);
    void take(soak_upstream& at, tagged_path::datagram const& got);
    void
    receive(soak_upstream& at, tagged_path::packet const& got, std::size_t vm);
    void check_opening(
        soak_upstream const& at,
        tagged_path::packet const& got,
        std::size_t vm);
    void end_when_drained(instance_number instance);
    std::vector<soak_upstream*> find_serving();
    soak_upstream* pick(std::uint32_t target);
    /// One in so many of those that serve, at least one if there is one.
    std::vector<soak_upstream*>
    pick_share(std::uint32_t target, std::size_t one_in);
    void slow_down(soak_upstream& slow, time_point until);

    parties with;
    std::vector<std::string> domains;
    std::function<std::string(std::uint32_t)> address_of;
    std::map<instance_number, soak_upstream> all;
    /// In the order in which they were started.
    std::vector<instance_number> started;
    std::uint64_t next_instance = 1;
    std::uint32_t next_host = 0;
};

} // namespace cairnhead::soak
