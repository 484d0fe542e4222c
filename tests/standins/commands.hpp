#pragma once

#include "termination.hpp"

#include <absl/flags/declare.h>

#include <cstdint>
#include <string>

ABSL_DECLARE_FLAG(std::string, address);
ABSL_DECLARE_FLAG(std::string, control);
ABSL_DECLARE_FLAG(std::string, fabric);
ABSL_DECLARE_FLAG(std::string, listen);
ABSL_DECLARE_FLAG(std::string, service);
ABSL_DECLARE_FLAG(std::uint64_t, seed);
ABSL_DECLARE_FLAG(std::string, vms);

/// The stand-ins. Each command runs as the only one of its process.
namespace cairnhead::standins
{

/// Serves documents and the list of VMs over HTTP, as the platform does.
[[noreturn]] void run_platform(termination_signal const& termination);

/// Sprays callers' packets over the entry VMs and delivers the answers.
[[noreturn]] void run_fabric(termination_signal const& termination);

/// Answers a service's callers with a TCP stack of its own.
[[noreturn]] void run_upstream(termination_signal const& termination);

/// Opens flows to a service and checks every answer.
[[noreturn]] void run_callers(termination_signal const& termination);

} // namespace cairnhead::standins
