#pragma once

#include <base/time.hpp>

namespace cairnhead
{

/// A sum whose terms lose weight exponentially with their age. No method has a
/// precondition unless its comment states one; none is thread-safe.
class decayed_sum
{
public:
    /// Precondition: the time constant is positive. After it a term has a
    /// weight of 1/e.
    explicit decayed_sum(duration time_constant);

    /// Adds a term. One that is older than the latest counts as the latest.
    void add(time_point now, double term);

    /// The sum as of now.
    [[nodiscard]] double at(time_point now) const;

    void clear();

private:
    duration time_constant;
    double sum = 0;
    time_point as_of;
};

} // namespace cairnhead
