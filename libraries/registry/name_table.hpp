#pragma once

#include <registry/registry.hpp>

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <vector>

namespace cairnhead
{

/// Names that stand often in a listing, each once. Pools and failure domains
/// are few: written out, they would be two thirds of each entry.
/// Thread safety of all methods: none.
class name_table
{
public:
    /// The name's place; a new one if it is new. Throws `registry_rejected`
    /// when there are too many. No precondition.
    [[nodiscard]] std::uint16_t place_of(std::string const& name)
    {
        if (this->names.size() > std::numeric_limits<std::uint16_t>::max())
            throw registry_rejected();
        auto const next = static_cast<std::uint16_t>(this->names.size());
        auto const [known, is_new] = this->places.try_emplace(name, next);
        if (is_new)
            this->names.push_back(name);
        return known->second;
    }

    /// In the order of their places. No precondition.
    [[nodiscard]] std::span<std::string const> all() const
    {
        return this->names;
    }

private:
    std::vector<std::string> names;
    absl::flat_hash_map<std::string, std::uint16_t> places;
};

} // namespace cairnhead
