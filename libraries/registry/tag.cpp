#include <registry/tag.hpp>

#include <base/hash.hpp>

#include <array>
#include <cinttypes>
#include <cstdio>

namespace cairnhead
{

upstream_tag toggle_provisional(
    upstream_tag tag, std::uint32_t opening_sequence, offer_standing standing)
{
    // Every bit depends on the whole number: the lengths of requests, by which
    // later packets differ, are often multiples of a power of two.
    auto const mask = static_cast<std::uint32_t>(
        hash_pair(opening_sequence, static_cast<std::uint64_t>(standing)));
    return upstream_tag(tag.value() ^ (mask == 0 ? 1 : mask));
}

std::string name_of_instance(instance_number instance)
{
    std::array<char, sizeof("i-0123456789abcdef")> text{};
    std::snprintf(text.data(), text.size(), "i-%08" PRIx64, instance.value());
    return text.data();
}

std::string name_of_start(registered_upstream const& upstream)
{
    std::string name = name_of_instance(upstream.instance);
    if (upstream.life == incarnation())
        return name;
    name += '@';
    name += std::to_string(upstream.life.value());
    return name;
}

} // namespace cairnhead
