#include <emulator/traffic_meter.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cairnhead::emulator
{

namespace
{

/// Violations that are kept in words: enough to find a cause.
constexpr std::size_t kept_violations = 5;

} // namespace

std::string_view to_text(traffic_violation kind)
{
    switch (kind)
    {
    case traffic_violation::living_flow_reset:
        return "living_flow_reset";
    case traffic_violation::living_flow_timed_out:
        return "living_flow_timed_out";
    case traffic_violation::unconfirmed_flow_reset:
        return "unconfirmed_flow_reset";
    case traffic_violation::unconfirmed_flow_timed_out:
        return "unconfirmed_flow_timed_out";
    case traffic_violation::wrong_service:
        return "wrong_service";
    case traffic_violation::run_twice:
        return "run_twice";
    case traffic_violation::new_at_leaving:
        return "new_at_leaving";
    case traffic_violation::refused_in_vain:
        return "refused_in_vain";
    }
    return "unknown";
}

void traffic_meter::note_end(request_end how, duration took)
{
    ++this->ends[static_cast<std::size_t>(how)];
    if (how == request_end::answered)
        this->times.push_back(took);
}

void traffic_meter::note_violation(
    time_point now, traffic_violation kind, std::string_view what)
{
    ++this->found[static_cast<std::size_t>(kind)];
    if (this->first_found.size() >= kept_violations)
        return;
    auto const milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            now.time_since_epoch());
    this->first_found.push_back(
        std::to_string(milliseconds.count()) + " ms " +
        std::string(to_text(kind)) + " " + std::string(what));
}

void traffic_meter::reset()
{
    this->ends.fill(0);
    this->times.clear();
}

void traffic_meter::forget_violations()
{
    this->found = {};
    this->first_found.clear();
}

std::uint64_t traffic_meter::ended(request_end how) const
{
    return this->ends[static_cast<std::size_t>(how)];
}

std::uint64_t traffic_meter::violations() const
{
    return std::accumulate(
        this->found.begin(), this->found.end(), std::uint64_t{0});
}

std::uint64_t traffic_meter::violations_of(traffic_violation kind) const
{
    return this->found[static_cast<std::size_t>(kind)];
}

std::string traffic_meter::describe_violations() const
{
    std::string text;
    for (std::size_t kind = 0; kind < traffic_violation_kinds; ++kind)
    {
        if (this->found[kind] == 0)
            continue;
        text += to_text(static_cast<traffic_violation>(kind));
        text += '=' + std::to_string(this->found[kind]) + ' ';
    }
    return text;
}

std::vector<std::string> const& traffic_meter::first_violations() const
{
    return this->first_found;
}

duration traffic_meter::answered_within(double share) const
{
    if (this->times.empty())
        return {};
    auto sorted = this->times;
    auto const last = static_cast<double>(sorted.size() - 1);
    auto const nth =
        sorted.begin() + static_cast<std::ptrdiff_t>(std::lround(share * last));
    std::ranges::nth_element(sorted, nth);
    return *nth;
}

} // namespace cairnhead::emulator
