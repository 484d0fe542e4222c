#include <model/directory.hpp>

#include <algorithm>
#include <utility>

namespace cairnhead
{

directory::directory(
    std::vector<service> services, std::vector<upstream> upstreams)
    : all_services(std::move(services)), all_upstreams(std::move(upstreams))
{
    std::ranges::sort(this->all_services, {}, &service::name);
    std::ranges::sort(this->all_upstreams, {}, &upstream::id);
    for (std::size_t index = 0; index < this->all_services.size(); ++index)
    {
        service const& item = this->all_services[index];
        this->by_address.emplace(item.address, index);
        this->by_id.emplace(item.id, index);
    }
    for (std::size_t index = 0; index < this->all_upstreams.size(); ++index)
        this->upstream_by_id.emplace(this->all_upstreams[index].id, index);
}

service const* directory::find_service(endpoint const& address) const
{
    auto const found = this->by_address.find(address);
    if (found == this->by_address.end())
        return nullptr;
    return &this->all_services[found->second];
}

service const* directory::find_service(service_id id) const
{
    auto const found = this->by_id.find(id);
    if (found == this->by_id.end())
        return nullptr;
    return &this->all_services[found->second];
}

upstream const* directory::find_upstream(upstream_id id) const
{
    auto const found = this->upstream_by_id.find(id);
    if (found == this->upstream_by_id.end())
        return nullptr;
    return &this->all_upstreams[found->second];
}

std::span<service const> directory::services() const
{
    return this->all_services;
}

std::span<upstream const> directory::upstreams() const
{
    return this->all_upstreams;
}

} // namespace cairnhead
