#pragma once

#include <emulator/experiment.hpp>

#include <cstdint>

/// How much memory a fleet takes in one process, so that none takes the
/// machine's.
namespace cairnhead::emulator
{

/// What the fleet of an experiment needs at this size, roughly, in bytes. Each
/// VM has a registry of its own, as each of a real fleet has, so that the need
/// grows with the square of the size. No precondition. Thread safety: no shared
/// state.
[[nodiscard]] std::uint64_t
memory_needed(experiment const& plan, std::uint32_t vms);

/// Half of this machine's memory: others use it as well. No precondition.
/// Thread safety: no shared state.
[[nodiscard]] std::uint64_t memory_allowed();

} // namespace cairnhead::emulator
