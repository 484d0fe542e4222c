#include <exploration/choice_source.hpp>

#include <algorithm>
#include <utility>

namespace cairnhead::exploration
{

namespace
{

struct chooser
{
    std::uint32_t count;
    std::size_t place;

    std::uint32_t operator()(random_choices& source) const
    {
        return static_cast<std::uint32_t>(source.engine() % this->count);
    }

    std::uint32_t operator()(given_choices const& source) const
    {
        if (this->place >= source.taken.size())
            return 0;
        return std::min(source.taken[this->place], this->count - 1);
    }
};

} // namespace

choice_source::choice_source(kind chosen) : source(std::move(chosen))
{
}

std::uint32_t choice_source::choose(std::uint32_t count)
{
    auto const taken_now =
        std::visit(chooser{count, this->taken.size()}, this->source);
    this->taken.push_back({taken_now, count});
    return taken_now;
}

std::span<choice const> choice_source::made() const
{
    return this->taken;
}

std::optional<std::vector<std::uint32_t>>
next_in_order(std::span<choice const> made)
{
    std::vector<std::uint32_t> next;
    for (choice const& each : made)
        next.push_back(each.taken);
    while (!next.empty() && next.back() + 1 >= made[next.size() - 1].count)
        next.pop_back();
    if (next.empty())
        return std::nullopt;
    ++next.back();
    return next;
}

} // namespace cairnhead::exploration
