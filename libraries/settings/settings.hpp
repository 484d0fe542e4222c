#pragma once

#include <base/identifiers.hpp>
#include <event/settings.hpp>
#include <settings/settings_error.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// The settings file of one entry VM.
namespace cairnhead
{

/// A UDP or TCP address.
struct socket_address
{
    ipv4_address address;
    std::uint16_t port = 0;

    bool operator==(socket_address const&) const = default;
};

/// A key that peers share. `id` tells keys apart during rotation.
struct peer_key
{
    std::uint8_t id = 0;
    std::array<std::uint8_t, 32> secret{};
};

/// How callers' packets are wrapped between the fabric, VMs and upstreams.
enum class fabric_encapsulation : std::uint8_t
{
    /// GUE variant 0 over IPv4 packets.
    gue,
    /// Datagrams that carry a tag; see platform/tagged_datagram.hpp.
    tagged,
};

/// How the platform publishes declarations.
enum class platform_protocol : std::uint8_t
{
    /// Documents of organisations with versions.
    documents,
    /// A metadata store with a registry of upstreams.
    metadata_store,
};

/// The fabric's side: where callers' packets come from and go to.
struct fabric_settings
{
    /// UDP port on the own address for encapsulated packets (GUE: 6080).
    std::uint16_t listen_port = 6080;
    /// Packets from other addresses are dropped and counted.
    /// Empty only with tagged datagrams: then any address is taken.
    std::vector<ipv4_address> sources;
    fabric_encapsulation encapsulation = fabric_encapsulation::gue;
    /// With tagged datagrams: UDP port on callers' addresses for refusals.
    std::uint16_t caller_port = 0;
    /// Where packets bound for callers (refusals) are sent.
    socket_address return_path;
    /// A packet that waited longer than this in the socket is dropped: the
    /// process was paused, and the caller has sent it again since.
    duration maximum_packet_age = 2s;
};

struct peer_settings
{
    /// Where this VM listens to its peers, who know it by its own address. Not
    /// the same where addresses are translated on the way.
    ipv4_address listen_address;
    /// UDP port for frames and control messages.
    std::uint16_t port = 6081;
    /// TCP port from which peers fetch documents.
    std::uint16_t document_port = 6083;
    /// The first signs; all are accepted. One or two.
    std::vector<peer_key> keys;
};

struct readiness_settings
{
    /// TCP port on the own address; zero turns it off.
    std::uint16_t port = 0;
    /// Path that answers 200 or 503.
    std::string path = "/ready";
};

struct logging_settings
{
    /// `debug`, `info`, `warning` or `error`.
    std::string level = "info";
    /// Lines beyond this are counted, not written.
    std::uint32_t lines_per_second = 50;
    /// Of so many new flows a second each step is logged, as lines cost a small
    /// VM processor time; what goes wrong is logged of all flows.
    std::uint32_t flows_per_second = 5;
};

struct daemon_settings
{
    reducer_settings reducer;
    /// The failure domain's name, for people.
    std::string failure_domain;
    fabric_settings fabric;
    /// UDP port at which upstreams decapsulate.
    std::uint16_t upstream_port = 6080;
    peer_settings peers;
    /// Keys the hash of flows; the same on all VMs.
    std::array<std::uint8_t, 16> flow_key{};
    /// Base URL of the platform, `http://127.0.0.1:8500`.
    std::string platform_url;
    platform_protocol publishes = platform_protocol::documents;
    /// Where the fabric asks whether callers may be sent to this VM.
    readiness_settings readiness;
    /// TCP port on the own address for the command line client.
    std::uint16_t control_port = 6084;
    /// TCP port on the own address for metrics; zero turns them off.
    std::uint16_t metrics_port = 9100;
    logging_settings logging;
    /// Of the file's text: VMs whose files are alike have the same, and it
    /// changes with the file.
    std::uint64_t digest = 0;
};

/// Reads a settings file. Throws `settings_rejected` with every error found.
/// Thread safety: no shared state.
[[nodiscard]] daemon_settings parse_settings(std::string_view text);

} // namespace cairnhead
