#pragma once

#include <base/identifiers.hpp>
#include <registry/registry.hpp>

#include <cstdint>
#include <string>

/// Flows whose packets carry a tag. The upstream's answers carry the tag of
/// the packets that reached it, and the caller's packets carry the tag of the
/// latest answer. So each packet but the opening itself names the upstream of
/// its flow, and any VM that knows the upstreams can pass it on without
/// knowing the flow.
namespace cairnhead
{

/// Names an upstream in packets; zero stands for no upstream. All VMs derive
/// it from the instance's number alone.
using upstream_tag = strong_value<struct upstream_tag_tag, std::uint32_t>;

/// No precondition. Thread safety: no shared state.
[[nodiscard]] constexpr upstream_tag tag_of(instance_number instance)
{
    auto const low = static_cast<std::uint32_t>(instance.value());
    return upstream_tag(low == 0 ? 1 : low);
}

/// What an opening's tag tells of the upstreams that got the opening.
enum class offer_standing : std::uint8_t
{
    /// No other upstream got it later, from this VM.
    latest,
    superseded,
};

/// The tag that an opening with this sequence number carries to an upstream, or
/// the upstream's tag for such a tag. Packets that follow the opening carry the
/// upstream's tag, so an upstream answers with a provisional tag only until it
/// has had such a packet.
/// Where several upstreams got the opening, each answers it and repeats the
/// answer, and the caller's packets carry the provisional tag of any of them.
/// The sequence number tells the caller's first packet after the opening, for
/// which the tag is meant, from those that follow. No precondition. Thread
/// safety: no shared state.
[[nodiscard]] upstream_tag toggle_provisional(
    upstream_tag tag, std::uint32_t opening_sequence, offer_standing standing);

/// As operators and upstreams write it: `i-7f3a91c2`. No precondition. Thread
/// safety: no shared state.
[[nodiscard]] std::string name_of_instance(instance_number instance);

/// The same with the start that is meant, where it is known:
/// `i-7f3a91c2@1772409600123`. No precondition. Thread safety: no shared state.
[[nodiscard]] std::string name_of_start(registered_upstream const& upstream);

/// Where a tagged packet is to go.
struct tagged_target
{
    ipv4_address address;
    std::uint16_t port = 0;
    /// The upstream that is meant; another one at this address takes nothing.
    instance_number instance;

    bool operator==(tagged_target const&) const = default;
};

} // namespace cairnhead
