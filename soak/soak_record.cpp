#include <soak/soak_record.hpp>

#include <numeric>

namespace cairnhead::soak
{

namespace
{

constexpr std::array<std::string_view, promises> names{
    "living_flow_reset", "living_flow_hung",   "wrong_service",
    "run_twice",         "run_though_refused", "wrong_answer",
    "new_at_leaving",    "refused_in_vain",    "old_configuration",
    "vm_ended",          "unbounded",          "not_recovered",
    "in_use_after_stop"};

/// Lines beyond these say nothing new.
constexpr std::size_t most_lines = 200;

} // namespace

std::string_view to_text(broken_promise kind)
{
    return names.at(static_cast<std::size_t>(kind));
}

void soak_record::note(
    time_point now, broken_promise kind, std::string_view what)
{
    ++this->found.at(static_cast<std::size_t>(kind));
    if (this->told.size() >= most_lines)
        return;
    auto const at = std::chrono::duration_cast<std::chrono::milliseconds>(
        now.time_since_epoch());
    this->told.push_back(
        "boottime_ms=" + std::to_string(at.count()) +
        " violation=" + std::string(to_text(kind)) + " " + std::string(what));
}

void soak_record::note_end(emulator::request_end how)
{
    ++this->ends.at(static_cast<std::size_t>(how));
}

void soak_record::note_run(
    time_point now,
    flow_number flow,
    std::uint32_t request,
    std::string_view upstream)
{
    constexpr unsigned flow_bits = 32;
    std::uint64_t const key =
        std::uint64_t{flow.value()} << flow_bits | request;
    std::string const what = "flow=" + std::to_string(flow.value()) +
                             " request=" + std::to_string(request) +
                             " upstream=" + std::string(upstream);
    if (!this->executed.insert(key).second)
        this->note(now, broken_promise::run_twice, what);
    if (this->refused.contains(flow))
        this->note(now, broken_promise::run_though_refused, what);
}

void soak_record::note_refusal(flow_number flow)
{
    this->refused.insert(flow);
}

std::uint64_t soak_record::violations() const
{
    return std::accumulate(
        this->found.begin(), this->found.end(), std::uint64_t{0});
}

std::uint64_t soak_record::violations_of(broken_promise kind) const
{
    return this->found.at(static_cast<std::size_t>(kind));
}

std::uint64_t soak_record::requests() const
{
    return std::accumulate(
        this->ends.begin(), this->ends.end(), std::uint64_t{0});
}

std::uint64_t soak_record::ended(emulator::request_end how) const
{
    return this->ends.at(static_cast<std::size_t>(how));
}

std::vector<std::string> const& soak_record::lines() const
{
    return this->told;
}

} // namespace cairnhead::soak
