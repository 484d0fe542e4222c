#include <registry/tag.hpp>

#include <array>
#include <cinttypes>
#include <cstdio>

namespace cairnhead
{

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
