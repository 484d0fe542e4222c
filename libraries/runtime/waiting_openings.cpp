#include <runtime/waiting_openings.hpp>

#include <event/start_timeline.hpp>

#include <utility>

namespace cairnhead
{

namespace
{

/// A flood of openings must not exhaust the memory of a VM of 56 MB. Openings
/// beyond these bounds are dropped; callers retransmit them.
constexpr std::size_t maximum_openings = 1024;
constexpr std::size_t maximum_bytes = std::size_t{256} << 10;

} // namespace

received_datagram waiting_opening::datagram() const
{
    return {
        .source = this->source,
        .received_at = this->received_at,
        .bytes = this->bytes};
}

duration waiting_opening::waited(time_point now) const
{
    return this->waited_before + (now - this->added_at);
}

bool waiting_openings::add(
    time_point now, received_datagram const& datagram, duration waited_before)
{
    bool const has_room =
        this->openings.size() < maximum_openings &&
        this->byte_count + datagram.bytes.size() <= maximum_bytes;
    if (!has_room)
        return false;
    this->openings.push_back(
        {.source = datagram.source,
         .received_at = datagram.received_at,
         .bytes = {datagram.bytes.begin(), datagram.bytes.end()},
         .added_at = now,
         .waited_before = waited_before});
    this->byte_count += datagram.bytes.size();
    return true;
}

std::optional<waiting_opening> waiting_openings::take()
{
    if (this->openings.empty())
        return std::nullopt;
    waiting_opening taken = std::move(this->openings.front());
    this->openings.pop_front();
    this->byte_count -= taken.bytes.size();
    return taken;
}

std::optional<waiting_opening> waiting_openings::take_due(time_point now)
{
    bool const is_due =
        !this->openings.empty() &&
        this->openings.front().waited(now) >= longest_opening_wait;
    return is_due ? this->take() : std::nullopt;
}

} // namespace cairnhead
