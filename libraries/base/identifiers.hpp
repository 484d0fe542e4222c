#pragma once

#include <base/strong_value.hpp>

#include <cstdint>

/// The identifiers that every library shares.
namespace cairnhead
{

/// An IPv4 address in host byte order.
using ipv4_address = strong_value<struct ipv4_address_tag, std::uint32_t>;

/// An entry VM, named by its own IPv4 address in host byte order.
using vm_id = strong_value<struct vm_id_tag, std::uint32_t>;

/// An upstream, named by its IPv4 address in host byte order.
using upstream_id = strong_value<struct upstream_id_tag, std::uint32_t>;

/// A hash of `organisation/service`; see `make_service_id`.
using service_id = strong_value<struct service_id_tag, std::uint32_t>;

/// A hash of an organisation's name; see `make_organisation_id`.
using organisation_id = strong_value<struct organisation_id_tag, std::uint32_t>;

/// A hash of a failure domain's name; see `make_failure_domain_id`.
using failure_domain_id =
    strong_value<struct failure_domain_id_tag, std::uint32_t>;

/// Keyed hash of a flow's protocol, addresses and ports. All entry VMs share
/// the key, so they agree; callers do not know it, so they cannot choose
/// flows that land on one owner.
using flow_id = strong_value<struct flow_id_tag, std::uint64_t>;

/// Counts a VM's lives and its refutations; a higher one supersedes.
using incarnation = strong_value<struct incarnation_tag, std::uint64_t>;

/// Low bits of an incarnation that count refutations within one life; the
/// bits above tell lives of the process apart.
inline constexpr unsigned refutation_bits = 16;

/// The first incarnation of a process started at this moment, wall-clock
/// milliseconds since 1970.
constexpr incarnation first_incarnation(std::uint64_t wall_clock_milliseconds)
{
    return incarnation(wall_clock_milliseconds << refutation_bits);
}

/// Which life of the process an incarnation belongs to. A VM that restarted
/// has lost its pins, while one that merely refuted a suspicion has not.
constexpr std::uint64_t life_of(incarnation claimed)
{
    return claimed.value() >> refutation_bits;
}

/// The platform's version of one document; it only goes up.
using document_version =
    strong_value<struct document_version_tag, std::uint64_t>;

/// The platform's index over all documents, for blocking watches.
using platform_index = strong_value<struct platform_index_tag, std::uint64_t>;

/// Names a packet buffer which the runtime holds while the reducer decides.
using packet_token = strong_value<struct packet_token_tag, std::uint32_t>;

/// IP protocol numbers that a service can have.
enum class transport_protocol : std::uint8_t
{
    tcp = 6,
    udp = 17,
};

/// Where a service is reached, or where a packet was sent.
struct endpoint
{
    ipv4_address address;
    std::uint16_t port = 0;
    transport_protocol protocol = transport_protocol::tcp;

    // clang-tidy 14 takes the generated comparison with zero for a pointer's.
    // NOLINTBEGIN(modernize-use-nullptr)
    friend auto operator<=>(endpoint const&, endpoint const&) = default;
    // NOLINTEND(modernize-use-nullptr)

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, endpoint const& item)
    {
        return Hash::combine(
            std::move(state), item.address, item.port, item.protocol);
    }
};

} // namespace cairnhead
