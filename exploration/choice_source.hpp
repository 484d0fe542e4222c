#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <variant>
#include <vector>

namespace cairnhead::exploration
{

/// One of so many, that was taken.
struct choice
{
    std::uint32_t taken = 0;
    std::uint32_t count = 1;
};

/// Choices at random, always the same ones for a seed.
struct random_choices
{
    std::mt19937_64 engine;
};

/// These choices, and after them always the first.
struct given_choices
{
    std::vector<std::uint32_t> taken;
};

/// Where an explored run gets its choices from, and which it got.
/// Thread safety of all methods: none.
class choice_source
{
public:
    using kind = std::variant<random_choices, given_choices>;

    explicit choice_source(kind chosen);

    /// Takes one of so many. Precondition: `count` is above zero.
    std::uint32_t choose(std::uint32_t count);

    /// The choices so far. No precondition.
    [[nodiscard]] std::span<choice const> made() const;

private:
    kind source;
    std::vector<choice> taken;
};

/// The choices of the run after this one when all are tried in order; nothing
/// after the last. No precondition. Thread safety: no shared state.
[[nodiscard]] std::optional<std::vector<std::uint32_t>>
next_in_order(std::span<choice const> made);

} // namespace cairnhead::exploration
