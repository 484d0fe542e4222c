#pragma once

#include <algorithm>
#include <array>
#include <cassert>
#include <cstddef>
#include <cstdint>

namespace cairnhead
{

/// A list of at most `Capacity` values that lies in the object itself, so that
/// copying it never allocates.
/// Thread safety: as the plain values.
template <typename Value, std::size_t Capacity>
class fixed_list
{
public:
    using value_type = Value;

    /// Precondition: size() < Capacity.
    constexpr void push_back(Value const& value)
    {
        assert(this->count < Capacity);
        this->values[this->count++] = value;
    }

    /// No precondition.
    [[nodiscard]] constexpr bool contains(Value const& value) const
    {
        return std::find(this->begin(), this->end(), value) != this->end();
    }

    [[nodiscard]] constexpr std::size_t size() const
    {
        return this->count;
    }

    [[nodiscard]] constexpr bool empty() const
    {
        return this->count == 0;
    }

    [[nodiscard]] constexpr Value const* begin() const
    {
        return this->values.data();
    }

    [[nodiscard]] constexpr Value const* end() const
    {
        return this->values.data() + this->count;
    }

    /// Precondition: position < size().
    [[nodiscard]] constexpr Value const& operator[](std::size_t position) const
    {
        assert(position < this->count);
        return this->values[position];
    }

    friend constexpr bool
    operator==(fixed_list const& left, fixed_list const& right)
    {
        return std::equal(left.begin(), left.end(), right.begin(), right.end());
    }

private:
    std::array<Value, Capacity> values{};
    std::uint8_t count = 0;
};

} // namespace cairnhead
