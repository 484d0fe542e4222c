#include <rating/request_deadlines.hpp>

namespace cairnhead
{

namespace
{

/// A request stays here for a few answer times; at a quarter of a second this
/// bears 32,000 requests a second. Others are not watched.
constexpr std::size_t maximum_requests = 8'192;

} // namespace

void request_deadlines::add(request_deadline const& added)
{
    if (this->requests.size() < maximum_requests)
        this->requests.push(added);
}

std::optional<request_deadline> request_deadlines::take_due(time_point now)
{
    if (this->requests.empty() || now < this->requests.top().due_at)
        return std::nullopt;
    request_deadline const due = this->requests.top();
    this->requests.pop();
    return due;
}

std::size_t request_deadlines::size() const
{
    return this->requests.size();
}

} // namespace cairnhead
