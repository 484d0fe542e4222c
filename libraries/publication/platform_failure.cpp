#include <publication/platform_failure.hpp>

namespace cairnhead
{

std::string_view to_text(platform_failure failure)
{
    switch (failure)
    {
    case platform_failure::unreachable:
        return "unreachable";
    case platform_failure::timed_out:
        return "timed_out";
    case platform_failure::bad_status:
        return "bad_status";
    case platform_failure::too_large:
        return "too_large";
    case platform_failure::malformed_listing:
        return "malformed_listing";
    case platform_failure::missing_version:
        return "missing_version";
    case platform_failure::too_many_calls:
        return "too_many_calls";
    }
    return "unknown";
}

} // namespace cairnhead
