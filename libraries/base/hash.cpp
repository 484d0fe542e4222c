#define XXH_INLINE_ALL
#include <base/hash.hpp>

#include <string>
#include <xxhash.h>

namespace cairnhead
{

std::uint64_t hash_pair(std::uint64_t first, std::uint64_t second)
{
    std::uint64_t const words[2] = {first, second};
    return XXH3_64bits(words, sizeof(words));
}

std::uint64_t hash_text(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

service_id
make_service_id(std::string_view organisation, std::string_view service)
{
    std::string path(organisation);
    path += '/';
    path += service;
    return service_id(static_cast<std::uint32_t>(hash_text(path)));
}

organisation_id make_organisation_id(std::string_view name)
{
    return organisation_id(static_cast<std::uint32_t>(hash_text(name)));
}

failure_domain_id make_failure_domain_id(std::string_view name)
{
    return failure_domain_id(static_cast<std::uint32_t>(hash_text(name)));
}

} // namespace cairnhead
