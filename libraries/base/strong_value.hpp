#pragma once

#include <compare>
#include <tuple>
#include <utility>

namespace cairnhead
{

/// A value that mixes with no other kind of value. `Tag` tells kinds apart;
/// without it a VM's address could be passed where an upstream's is meant.
/// Thread safety: as the plain value.
template <typename Tag, typename Value>
class strong_value
{
public:
    using value_type = Value;

    constexpr strong_value() = default;

    constexpr explicit strong_value(Value initial) : held(initial)
    {
    }

    [[nodiscard]] constexpr Value value() const
    {
        return this->held;
    }

    // clang-tidy 14 takes the generated comparison with zero for a pointer's.
    // NOLINTBEGIN(modernize-use-nullptr)
    friend constexpr auto
    operator<=>(strong_value const&, strong_value const&) = default;
    // NOLINTEND(modernize-use-nullptr)

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, strong_value const& item)
    {
        return Hash::combine(std::move(state), item.held);
    }

private:
    Value held{};
};

} // namespace cairnhead
