#include <runtime/address_unavailable.hpp>

#include <base/ipv4.hpp>

#include <system_error>

namespace cairnhead
{

address_unavailable::address_unavailable(
    socket_address wanted, int error_number)
    : unavailable(wanted), failed_with(error_number),
      text(
          "cannot bind UDP " + format_ipv4(wanted.address) + ":" +
          std::to_string(wanted.port) + ": " +
          std::generic_category().message(error_number))
{
}

socket_address address_unavailable::address() const
{
    return this->unavailable;
}

int address_unavailable::error_number() const
{
    return this->failed_with;
}

char const* address_unavailable::what() const noexcept
{
    return this->text.c_str();
}

} // namespace cairnhead
