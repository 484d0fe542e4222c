#pragma once

#include <fault_matrix/bench.hpp>

#include <span>

namespace cairnhead::test
{

/// A row of the matrix. `round` chooses other VMs and upstreams, so that the
/// same fault can come twice.
struct fault
{
    char const* name;
    duration lasts;
    void (*begins)(bench& tested, std::size_t round);
    /// Empty when the fault stays.
    void (*ends)(bench& tested, std::size_t round) = nullptr;
};

/// All rows, in the order of the matrix.
[[nodiscard]] std::span<fault const> all_faults();

/// Precondition: there is one of that name.
[[nodiscard]] fault const& find_fault(std::string_view name);

} // namespace cairnhead::test
