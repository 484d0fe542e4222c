#include <tagging/flow_bindings.hpp>

namespace cairnhead
{

namespace
{

constexpr std::size_t maximum_bindings = 16'384;

} // namespace

void flow_bindings::record(
    time_point now,
    time_point expires_at,
    flow_id flow,
    upstream_tag upstream,
    std::uint32_t acknowledged)
{
    this->expire(now);
    while (this->expiries.size() >= maximum_bindings)
    {
        this->bindings.erase(this->expiries.front().flow);
        this->expiries.pop_front();
    }
    this->bindings.insert_or_assign(
        flow, binding{upstream, acknowledged, expires_at});
    this->expiries.push_back({expires_at, flow});
}

std::optional<upstream_tag>
flow_bindings::find(flow_id flow, std::uint32_t acknowledged) const
{
    auto const found = this->bindings.find(flow);
    bool const is_known =
        found != this->bindings.end() &&
        may_be_same_flow(acknowledged, found->second.acknowledged);
    if (!is_known)
        return std::nullopt;
    return found->second.upstream;
}

void flow_bindings::remove(flow_id flow)
{
    this->bindings.erase(flow);
}

void flow_bindings::expire(time_point now)
{
    while (!this->expiries.empty() && this->expiries.front().at <= now)
    {
        auto const found = this->bindings.find(this->expiries.front().flow);
        bool const is_expired =
            found != this->bindings.end() && found->second.expires_at <= now;
        if (is_expired)
            this->bindings.erase(found);
        this->expiries.pop_front();
    }
}

std::size_t flow_bindings::size() const
{
    return this->bindings.size();
}

} // namespace cairnhead
