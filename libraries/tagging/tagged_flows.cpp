#include <tagging/tagged_flows.hpp>

namespace cairnhead
{

tagged_flows::tagged_flows(std::size_t maximum_flows) : maximum(maximum_flows)
{
}

tagged_flow* tagged_flows::find(flow_id flow)
{
    auto const found = this->flows.find(flow);
    return found == this->flows.end() ? nullptr : &found->second;
}

tagged_flow const* tagged_flows::find(flow_id flow) const
{
    auto const found = this->flows.find(flow);
    return found == this->flows.end() ? nullptr : &found->second;
}

tagged_flow* tagged_flows::insert(flow_id flow, tagged_flow const& added)
{
    if (this->flows.size() >= this->maximum)
        return nullptr;
    return &this->flows.insert_or_assign(flow, added).first->second;
}

void tagged_flows::remove(flow_id flow)
{
    this->flows.erase(flow);
}

std::size_t tagged_flows::size() const
{
    return this->flows.size();
}

} // namespace cairnhead
