#include <tagging/pending_openings.hpp>

#include <utility>

namespace cairnhead
{

namespace
{

/// A flood of openings must not fill the memory; those beyond it are repeated
/// by their callers.
constexpr std::size_t maximum_waiting = 16'384;

} // namespace

void pending_openings::add(pending_opening opening)
{
    if (this->waiting.size() < maximum_waiting)
        this->waiting.push_back(std::move(opening));
}

std::optional<pending_opening> pending_openings::take_due(time_point now)
{
    if (this->waiting.empty() || now < this->waiting.front().due_at)
        return std::nullopt;
    pending_opening due = std::move(this->waiting.front());
    this->waiting.pop_front();
    return due;
}

std::optional<time_point> pending_openings::next_due() const
{
    if (this->waiting.empty())
        return std::nullopt;
    return this->waiting.front().due_at;
}

} // namespace cairnhead
