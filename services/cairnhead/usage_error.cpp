#include "usage_error.hpp"

#include <utility>

namespace cairnhead
{

std::string_view to_text(usage_error_kind kind)
{
    switch (kind)
    {
    case usage_error_kind::missing_command:
        return "missing command";
    case usage_error_kind::unknown_command:
        return "unknown command";
    case usage_error_kind::unknown_flag:
        return "unknown flag";
    case usage_error_kind::missing_flag:
        return "missing flag";
    case usage_error_kind::conflicting_flags:
        return "flags exclude each other";
    case usage_error_kind::missing_flag_value:
        return "flag needs a value";
    case usage_error_kind::bad_flag_value:
        return "bad value for flag";
    case usage_error_kind::missing_argument:
        return "missing argument";
    case usage_error_kind::unexpected_argument:
        return "unexpected argument";
    case usage_error_kind::bad_argument:
        return "bad argument";
    }
    return "unknown";
}

usage_error::usage_error(usage_error_kind kind, std::string subject)
    : reason(kind), concerned(std::move(subject))
{
}

usage_error_kind usage_error::kind() const
{
    return this->reason;
}

std::string const& usage_error::subject() const
{
    return this->concerned;
}

char const* usage_error::what() const noexcept
{
    // The texts are literals, so their data ends with a zero byte.
    return to_text(this->reason).data();
}

} // namespace cairnhead
