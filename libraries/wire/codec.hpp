#pragma once

#include <protocol/control_message.hpp>
#include <protocol/peer_frame.hpp>

#include <cstdint>
#include <exception>
#include <span>
#include <string_view>
#include <vector>

/// Cap'n Proto encodings of what VMs send each other over UDP. RPC does not
/// fit there: a lost packet must not hold up the next one, and the failure of
/// a peer is what the messages are to find out.
namespace cairnhead
{

/// Kinds of datagram, in the byte that `authenticator` signs.
enum class datagram_kind : std::uint8_t
{
    control = 1,
    frame = 2,
    /// Not datagrams: parts of document fetches, signed in the same way. Their
    /// own numbers keep a tag from being valid for another purpose.
    document_request = 3,
    document_answer = 4,
};

enum class malformed_reason : std::uint8_t
{
    truncated,
    not_authentic,
    unknown_kind,
    not_capnp,
    out_of_range,
    too_large,
};

[[nodiscard]] std::string_view to_text(malformed_reason reason);

/// Thrown for a datagram that cannot be read.
class malformed_datagram : public std::exception
{
public:
    explicit malformed_datagram(malformed_reason fault);
    [[nodiscard]] malformed_reason reason() const;
    [[nodiscard]] char const* what() const noexcept override;

private:
    malformed_reason why;
};

/// Appends the encoded message to `out`. Precondition: it fits
/// `maximum_control_bytes`. Thread safety: no shared state.
void encode_control(
    control_message const& message, std::vector<std::uint8_t>& out);

/// Throws `malformed_datagram`. Thread safety: no shared state.
[[nodiscard]] control_message
decode_control(std::span<std::uint8_t const> bytes);

/// Appends the encoded frame and then the caller's packet to `out`.
/// Thread safety: no shared state.
void encode_frame(
    peer_frame const& frame,
    std::span<std::uint8_t const> packet,
    std::vector<std::uint8_t>& out);

/// A frame with a view of the caller's packet inside the given bytes.
struct decoded_frame
{
    peer_frame frame;
    std::span<std::uint8_t const> packet;
};

/// Throws `malformed_datagram`. Thread safety: no shared state.
[[nodiscard]] decoded_frame decode_frame(std::span<std::uint8_t const> bytes);

} // namespace cairnhead
