#include <declaration/declaration.hpp>

#include <algorithm>

namespace cairnhead
{

std::vector<upstream_id>
pick_upstreams(selector const& picks, std::span<upstream const> upstreams)
{
    std::vector<upstream_id> picked;
    for (upstream const& item : upstreams)
    {
        if (!picks.matches(item.labels))
            continue;
        picked.push_back(item.id);
    }
    std::ranges::sort(picked);
    return picked;
}

directory compile_directory(std::span<organisation_document const> documents)
{
    std::vector<service> services;
    std::vector<upstream> upstreams;
    for (organisation_document const& document : documents)
    {
        for (declared_service const& item : document.services)
        {
            service compiled = item.declared;
            // Only the document's own upstreams: labels of another
            // organisation must never draw its hosts into this service.
            compiled.upstreams = pick_upstreams(item.picks, document.upstreams);
            services.push_back(std::move(compiled));
        }
        upstreams.insert(
            upstreams.end(), document.upstreams.begin(),
            document.upstreams.end());
    }
    return {std::move(services), std::move(upstreams)};
}

} // namespace cairnhead
