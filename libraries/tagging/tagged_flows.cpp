#include <tagging/tagged_flows.hpp>

#include <algorithm>

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
    if (!this->has_room())
        return nullptr;
    tagged_flow& entry =
        this->flows.insert_or_assign(flow, added).first->second;
    entry.id = flow;
    return &entry;
}

void tagged_flows::remove(flow_id flow)
{
    this->flows.erase(flow);
}

std::vector<tagged_flow> tagged_flows::take_established(upstream_tag upstream)
{
    std::vector<tagged_flow> taken;
    absl::erase_if(
        this->flows,
        [&](auto const& entry)
        {
            tagged_flow const& flow = entry.second;
            bool const is_taken = flow.upstream == upstream &&
                                  flow.state == tagged_flow_state::established;
            if (is_taken)
                taken.push_back(flow);
            return is_taken;
        });
    // The iteration order of the hash table differs between processes, but the
    // same events must lead to the same effects.
    std::ranges::sort(taken, {}, &tagged_flow::caller);
    return taken;
}

bool tagged_flows::has_room() const
{
    return this->flows.size() < this->maximum;
}

std::size_t tagged_flows::size() const
{
    return this->flows.size();
}

} // namespace cairnhead
