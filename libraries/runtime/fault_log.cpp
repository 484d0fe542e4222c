#include <runtime/fault_log.hpp>

#include <base/ipv4.hpp>

namespace cairnhead
{

namespace
{

constexpr auto line_interval = std::chrono::seconds(1);

} // namespace

fault_log::fault_log(packet_counters& shared_counters, logger& shared_log)
    : counters(shared_counters), log(shared_log),
      next_line_at(fault_names().size())
{
}

void fault_log::note(
    time_point now, datagram_fault const& fault, socket_address source)
{
    std::size_t const index = index_of(fault);
    this->counters.count_fault(index);
    if (now < this->next_line_at[index])
        return;
    this->next_line_at[index] = now + line_interval;
    std::string const from =
        format_ipv4(source.address) + ":" + std::to_string(source.port);
    this->log.write(
        log_level::warning, "datagram_dropped",
        {{"reason", to_text(fault)}, {"source", from}});
}

} // namespace cairnhead
