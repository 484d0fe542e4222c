#pragma once

#include <base/time.hpp>

#include <cstdint>

namespace cairnhead
{

/// Which of the caller's packets told that a request was answered.
enum class answer_evidence : std::uint8_t
{
    /// An acknowledgement without new data: it follows the answer at once.
    acknowledgement,
    /// The FIN of a flow whose only request this was.
    only_request_closed,
    /// The next request, or the FIN of a flow that had more requests. Either
    /// may come seconds after the answer.
    later_packet,
};

/// A request of a flow that was answered, as the caller's packets show it.
struct ended_request
{
    answer_evidence evidence = answer_evidence::acknowledgement;
    /// From when the request passed this VM until the packet above arrived.
    duration elapsed{};
    /// Bytes of the answer that the caller acknowledged.
    std::uint32_t answer_length = 0;

    bool operator==(ended_request const&) const = default;
};

} // namespace cairnhead
