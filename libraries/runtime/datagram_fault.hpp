#pragma once

#include <packet/packet_view.hpp>
#include <wire/codec.hpp>

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace cairnhead
{

/// What went wrong with a datagram outside its content.
enum class transfer_fault : std::uint8_t
{
    /// Its source is not one of the fabric's addresses.
    unknown_source,
    /// It waited too long in the socket: the process was paused. The caller
    /// has sent its packet again since, and another VM has taken care of it.
    too_old,
    /// It did not fit the buffer.
    too_long,
    /// The VM named inside is not the one that sent it.
    sender_mismatch,
    /// The kernel dropped it because the socket's buffer was full.
    receive_overflow,
    /// The kernel refused to send it.
    send_failed,
    /// The reducer did not decide about it; that is a fault of the reducer.
    undecided,
    /// The reducer named a packet that it does not have; a fault of it, too.
    unknown_token,
};

/// Why a datagram was dropped outside the reducer. Each has a counter.
using datagram_fault =
    std::variant<transfer_fault, packet_fault, malformed_reason>;

/// The fault's name as operators see it. Thread safety: no shared state.
[[nodiscard]] std::string_view to_text(transfer_fault fault);

/// The name of whichever fault it is. Thread safety: no shared state.
[[nodiscard]] std::string_view to_text(datagram_fault const& fault);

/// Numbers all faults from zero, for tables of counters.
/// Thread safety: no shared state.
[[nodiscard]] std::size_t index_of(datagram_fault const& fault);

/// The names of all faults in the order of their numbers.
/// Thread safety: no shared state.
[[nodiscard]] std::vector<std::string_view> fault_names();

} // namespace cairnhead
