#include <wire/codec.hpp>

namespace cairnhead
{

std::string_view to_text(malformed_reason reason)
{
    switch (reason)
    {
    case malformed_reason::truncated:
        return "truncated";
    case malformed_reason::not_authentic:
        return "not_authentic";
    case malformed_reason::unknown_kind:
        return "unknown_kind";
    case malformed_reason::not_capnp:
        return "not_capnp";
    case malformed_reason::out_of_range:
        return "out_of_range";
    case malformed_reason::too_large:
        return "too_large";
    }
    return "unknown";
}

malformed_datagram::malformed_datagram(malformed_reason fault) : why(fault)
{
}

malformed_reason malformed_datagram::reason() const
{
    return this->why;
}

char const* malformed_datagram::what() const noexcept
{
    // Each text is a literal, so it ends with a zero byte.
    return to_text(this->why).data();
}

} // namespace cairnhead
