#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace cairnhead
{

/// Quantiles of the most recent samples. No method has a precondition unless
/// its comment states one; none is thread-safe.
class sample_quantiles
{
public:
    static constexpr std::size_t capacity = 64;

    /// Adds a sample, in place of the oldest one if there is no room.
    void add(std::uint32_t sample);

    /// The quantile of the samples; nothing if there are none. Precondition:
    /// the share lies between 0 and 1.
    [[nodiscard]] std::optional<std::uint32_t> quantile(double share) const;

    /// How many samples there are.
    [[nodiscard]] std::size_t size() const;

private:
    std::array<std::uint32_t, capacity> samples{};
    std::size_t count = 0;
    std::size_t next = 0;
};

} // namespace cairnhead
