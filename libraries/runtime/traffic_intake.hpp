#pragma once

#include <observability/packet_counters.hpp>
#include <runtime/fault_log.hpp>
#include <runtime/packet_ingest.hpp>
#include <runtime/packet_sender.hpp>
#include <runtime/peer_ingest.hpp>
#include <runtime/receive_batch.hpp>
#include <runtime/reducer_driver.hpp>
#include <runtime/refuser.hpp>
#include <runtime/udp_socket.hpp>
#include <runtime/waiting_openings.hpp>

namespace cairnhead
{

/// The two UDP sockets. The same ones send, so that what a VM sends comes
/// from its own address.
struct traffic_sockets
{
    udp_socket fabric;
    udp_socket peers;
};

/// What taking in traffic needs. All outlive the intake.
struct intake_parts
{
    traffic_sockets const& sockets;
    authenticator const& keys;
    reducer_driver& driver;
    packet_sender& sender;
    refuser& refusals;
    packet_counters& counters;
    fault_log& faults;
};

/// Receives datagrams in batches, reads them, has the reducer decide, and
/// sends the results, all before the next batch.
/// Thread safety of all methods: none; one thread, the packet thread.
class traffic_intake
{
public:
    /// Precondition: the settings outlive the object.
    traffic_intake(
        daemon_settings const& read_settings, intake_parts const& shared_parts);

    /// Handles up to `batch_size` datagrams from the fabric; whether there may
    /// be more. Throws `system_failure`. No precondition.
    bool take_from_fabric();

    /// Handles up to `batch_size` datagrams from other VMs; whether there may
    /// be more. Throws as above.
    bool take_from_peers();

    /// Has the reducer decide on the openings that waited for the registry: on
    /// all once it is complete, and else on those that waited for too long. No
    /// precondition.
    void release_openings();

private:
    /// One socket's batch, with the kernel's count of overflows so far.
    struct source
    {
        receive_batch batch;
        std::uint32_t overflowed = 0;
    };

    [[nodiscard]] bool is_of_refused_flow(packet_view const& packet) const;
    void begin_batch();
    void finish_batch(source& finished);
    void carry_out();
    /// Lets an opening wait for the registry; false if it must be decided now.
    [[nodiscard]] bool
    must_wait(received_datagram const& from, packet_view const& packet);
    void release(waiting_opening const& opening);
    [[nodiscard]] duration time_waited(received_datagram const& datagram) const;
    void count_overflows(source& finished);
    void take(received_datagram const& from, packet_view const& packet);
    void take(received_datagram const& from, framed_packet const& handed_over);
    void take(received_datagram const& from, control_message const& message);
    void take(received_datagram const& from, datagram_fault const& fault);

    daemon_settings const& settings;
    intake_parts parts;
    packet_ingest fabric_reader;
    peer_ingest peer_reader;
    source fabric;
    source peers;
    waiting_openings openings;
    wall_time batch_begun_at;
    wall_time oldest_accepted;
};

} // namespace cairnhead
