#include <runtime/datagram_fault.hpp>

namespace cairnhead
{

namespace
{

constexpr auto last_transfer_fault = transfer_fault::unknown_token;
constexpr auto last_packet_fault = packet_fault::oversized;
constexpr auto last_malformed_reason = malformed_reason::too_large;

template <typename Enumeration>
constexpr std::size_t position(Enumeration value)
{
    return static_cast<std::size_t>(value);
}

constexpr std::size_t first_packet_fault = position(last_transfer_fault) + 1;
constexpr std::size_t first_malformed_reason =
    first_packet_fault + position(last_packet_fault) + 1;

template <typename Enumeration>
void append_names(std::vector<std::string_view>& names, Enumeration last)
{
    for (std::size_t value = 0; value <= position(last); ++value)
        names.push_back(to_text(static_cast<Enumeration>(value)));
}

} // namespace

std::string_view to_text(transfer_fault fault)
{
    switch (fault)
    {
    case transfer_fault::unknown_source:
        return "unknown_source";
    case transfer_fault::too_old:
        return "too_old";
    case transfer_fault::too_long:
        return "too_long";
    case transfer_fault::sender_mismatch:
        return "sender_mismatch";
    case transfer_fault::receive_overflow:
        return "receive_overflow";
    case transfer_fault::send_failed:
        return "send_failed";
    case transfer_fault::undecided:
        return "undecided";
    case transfer_fault::unknown_token:
        return "unknown_token";
    }
    return "unknown";
}

std::string_view to_text(datagram_fault const& fault)
{
    return std::visit(
        [](auto held)
        {
            return to_text(held);
        },
        fault);
}

std::size_t index_of(datagram_fault const& fault)
{
    if (auto const* const packet = std::get_if<packet_fault>(&fault))
        return first_packet_fault + position(*packet);
    if (auto const* const malformed = std::get_if<malformed_reason>(&fault))
        return first_malformed_reason + position(*malformed);
    return position(std::get<transfer_fault>(fault));
}

std::vector<std::string_view> fault_names()
{
    std::vector<std::string_view> names;
    append_names(names, last_transfer_fault);
    append_names(names, last_packet_fault);
    append_names(names, last_malformed_reason);
    return names;
}

} // namespace cairnhead
