#include <tagging/pending_openings.hpp>

#include <utility>

namespace cairnhead
{

namespace
{

/// A flood of openings must not exhaust the memory. An opening beyond this
/// bound is not retried here; its caller retransmits it.
constexpr std::size_t maximum_openings = 16'384;

} // namespace

void pending_openings::add(pending_opening opening)
{
    if (this->openings.size() < maximum_openings)
        this->openings.push_back(std::move(opening));
}

std::optional<pending_opening> pending_openings::take_due(time_point now)
{
    if (this->openings.empty() || now < this->openings.front().due_at)
        return std::nullopt;
    pending_opening due = std::move(this->openings.front());
    this->openings.pop_front();
    return due;
}

std::optional<time_point> pending_openings::next_due() const
{
    if (this->openings.empty())
        return std::nullopt;
    return this->openings.front().due_at;
}

} // namespace cairnhead
