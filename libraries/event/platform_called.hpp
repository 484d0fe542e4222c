#pragma once

#include <base/identifiers.hpp>
#include <base/time.hpp>

#include <cstdint>
#include <string_view>

namespace cairnhead
{

/// Why a reader called the platform. Each has a counter.
enum class platform_call_reason : std::uint8_t
{
    /// What changed since the last call.
    changes,
    /// Everything, as the reader knows nothing.
    first_read,
    /// Everything, as the platform forgot what changed since the last call.
    lost_history,
    /// Everything, as calls for changes failed time and again.
    repeated_failures,
    /// Everything, as the configuration names a service that it did not name
    /// before, and entries of that service were left out until now.
    new_service,
};

[[nodiscard]] constexpr std::string_view to_text(platform_call_reason reason)
{
    switch (reason)
    {
    case platform_call_reason::changes:
        return "changes";
    case platform_call_reason::first_read:
        return "first_read";
    case platform_call_reason::lost_history:
        return "lost_history";
    case platform_call_reason::repeated_failures:
        return "repeated_failures";
    case platform_call_reason::new_service:
        return "new_service";
    }
    return "unknown";
}

/// A call to the platform ended.
struct platform_called
{
    duration took{};
    bool was_answered = false;
    platform_call_reason reason = platform_call_reason::changes;
    /// What had been read before this call, up to where, and which documents
    /// came of it; zero where nothing had.
    platform_index complete_up_to{};
    document_version routes{};
    document_version upstreams{};
    document_version evacuations{};
};

} // namespace cairnhead
