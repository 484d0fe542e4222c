#pragma once

#include <emulator/experiment_run.hpp>

#include <iosfwd>
#include <span>

namespace cairnhead::emulator
{

/// Prints results as a table for people, one line a run. No precondition.
/// Thread safety: no shared state.
void print_table(std::span<run_result const> results, std::ostream& out);

/// Writes them as comma separated values. No precondition. Thread safety: no
/// shared state.
void write_csv(std::span<run_result const> results, std::ostream& out);

} // namespace cairnhead::emulator
