#include <exploration/explorer.hpp>

#include <utility>

namespace cairnhead::exploration
{

namespace
{

using script = std::vector<disturbance>;

std::optional<succession_violation>
play(std::uint32_t vms, script const& happening)
{
    return succession_world(vms, happening).play();
}

bool breaks_the_same(
    std::uint32_t vms,
    script const& happening,
    succession_violation::rule broken)
{
    auto const found = play(vms, happening);
    return found && found->broken == broken;
}

/// Leaves out disturbances one by one, and halves their lengths, as long as the
/// same rule is broken.
script
minimise(std::uint32_t vms, script happening, succession_violation::rule broken)
{
    for (std::size_t place = 0; place < happening.size();)
    {
        script shorter = happening;
        shorter.erase(shorter.begin() + static_cast<std::ptrdiff_t>(place));
        if (breaks_the_same(vms, shorter, broken))
            happening = std::move(shorter);
        else
            ++place;
    }
    for (std::size_t place = 0; place < happening.size(); ++place)
    {
        script gentler = happening;
        while (gentler[place].length > duration{})
        {
            gentler[place].length /= 2;
            if (!breaks_the_same(vms, gentler, broken))
                break;
            happening = gentler;
        }
    }
    return happening;
}

exploration_finding make_finding(
    std::uint32_t vms,
    script const& happening,
    succession_violation const& violation,
    std::uint64_t seed)
{
    exploration_finding found{
        minimise(vms, happening, violation.broken), violation, seed};
    found.violation = play(vms, found.script).value_or(violation);
    return found;
}

} // namespace

exploration_result
explore_in_order(exploration_shape const& shape, std::uint64_t most_runs)
{
    exploration_result result;
    std::optional<std::vector<std::uint32_t>> next{std::in_place};
    while (next && result.runs < most_runs)
    {
        choice_source choices(given_choices{std::move(*next)});
        auto const happening = draw_disturbances(shape, choices);
        ++result.runs;
        if (auto const violation = play(shape.vms, happening))
        {
            result.finding = make_finding(shape.vms, happening, *violation, 0);
            return result;
        }
        next = next_in_order(choices.made());
    }
    result.is_complete = !next;
    return result;
}

exploration_result explore_at_random(
    exploration_shape const& shape,
    std::uint64_t first_seed,
    std::uint64_t runs)
{
    exploration_result result;
    for (; result.runs < runs; ++result.runs)
    {
        std::uint64_t const seed = first_seed + result.runs;
        choice_source choices(random_choices{std::mt19937_64(seed)});
        auto const happening = draw_disturbances(shape, choices);
        auto const violation = play(shape.vms, happening);
        if (!violation)
            continue;
        result.finding = make_finding(shape.vms, happening, *violation, seed);
        return result;
    }
    return result;
}

} // namespace cairnhead::exploration
