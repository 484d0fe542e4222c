#include <rating/decayed_sum.hpp>

#include <algorithm>
#include <cmath>

namespace cairnhead
{

decayed_sum::decayed_sum(duration constant) : time_constant(constant)
{
}

void decayed_sum::add(time_point now, double term)
{
    this->sum = this->at(now) + term;
    this->as_of = std::max(this->as_of, now);
}

double decayed_sum::at(time_point now) const
{
    if (this->sum == 0 || now <= this->as_of)
        return this->sum;
    std::chrono::duration<double> const age = now - this->as_of;
    std::chrono::duration<double> const constant = this->time_constant;
    return this->sum * std::exp(-age / constant);
}

void decayed_sum::clear()
{
    this->sum = 0;
}

} // namespace cairnhead
