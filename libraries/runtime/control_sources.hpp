#pragma once

#include <control/control_source.hpp>
#include <runtime/inbox.hpp>
#include <settings/settings.hpp>

/// What the RPC server asks, answered by the packet thread.
namespace cairnhead
{

/// Precondition: all arguments outlive the source.
[[nodiscard]] control_source
make_control_source(daemon_settings const& settings, inbox& arrivals);

/// Precondition: the inbox outlives the source.
[[nodiscard]] document_source make_document_source(inbox& arrivals);

} // namespace cairnhead
