#include <control/rpc_errors.hpp>

#include <base/ipv4.hpp>

namespace cairnhead
{

rpc_address_unavailable::rpc_address_unavailable(
    ipv4_address address, std::uint16_t port)
    : text(
          "RPC cannot be served at " + format_ipv4(address) + ":" +
          std::to_string(port))
{
}

char const* rpc_address_unavailable::what() const noexcept
{
    return this->text.c_str();
}

control_unreachable::control_unreachable(control_failure failure) : why(failure)
{
}

control_failure control_unreachable::reason() const
{
    return this->why;
}

char const* control_unreachable::what() const noexcept
{
    switch (this->why)
    {
    case control_failure::unreachable:
        return "no daemon answers there";
    case control_failure::timed_out:
        return "the daemon did not answer in time";
    case control_failure::malformed_answer:
        return "the daemon's answer cannot be read";
    }
    return "the daemon cannot be asked";
}

} // namespace cairnhead
