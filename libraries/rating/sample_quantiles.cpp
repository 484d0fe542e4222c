#include <rating/sample_quantiles.hpp>

#include <algorithm>

namespace cairnhead
{

void sample_quantiles::add(std::uint32_t sample)
{
    this->samples.at(this->next) = sample;
    this->next = (this->next + 1) % capacity;
    this->count = std::min(this->count + 1, capacity);
}

std::optional<std::uint32_t> sample_quantiles::quantile(double share) const
{
    if (this->count == 0)
        return std::nullopt;
    auto sorted = this->samples;
    auto const position =
        static_cast<std::ptrdiff_t>(share * static_cast<double>(count - 1));
    auto* const chosen = sorted.begin() + position;
    std::nth_element(
        sorted.begin(), chosen,
        sorted.begin() + static_cast<std::ptrdiff_t>(this->count));
    return *chosen;
}

std::size_t sample_quantiles::size() const
{
    return this->count;
}

} // namespace cairnhead
