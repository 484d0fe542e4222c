#include <runtime/packet_pool.hpp>

#include <utility>

namespace cairnhead
{

unknown_packet_token::unknown_packet_token(packet_token token) : unknown(token)
{
}

packet_token unknown_packet_token::token() const
{
    return this->unknown;
}

char const* unknown_packet_token::what() const noexcept
{
    return "the reducer named a packet that it does not have";
}

packet_token packet_pool::hold(packet_view const& packet)
{
    std::uint32_t const index = this->held_count;
    this->packets.at(index) = packet;
    ++this->held_count;
    return packet_token(this->first_token + index);
}

packet_view packet_pool::take(packet_token token)
{
    // Unsigned, so that a token of an earlier batch gives a large index.
    std::uint32_t const index = token.value() - this->first_token;
    if (index >= this->held_count || !this->packets[index].has_value())
        throw unknown_packet_token(token);
    ++this->taken_count;
    return *std::exchange(this->packets[index], std::nullopt);
}

std::size_t packet_pool::clear()
{
    std::size_t const undecided = this->held_count - this->taken_count;
    for (auto& packet : this->packets)
        packet.reset();
    // New numbers, so that a token kept too long names nothing.
    this->first_token += this->held_count;
    this->held_count = 0;
    this->taken_count = 0;
    return undecided;
}

} // namespace cairnhead
