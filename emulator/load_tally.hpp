#pragma once

#include <emulator/request_load.hpp>

#include <cstdint>
#include <vector>

namespace cairnhead::emulator
{

/// What became of the requests of one route.
struct load_outcome
{
    std::uint64_t arrived = 0;
    std::uint64_t in_time = 0;
    std::uint64_t late = 0;
    /// By a VM, or by a placer that knew it would be late.
    std::uint64_t refused = 0;
    /// Every other end without an answer.
    std::uint64_t failed = 0;
    /// Of all tries: those that met a full queue, and those that were answered
    /// with an error.
    std::uint64_t full_queues = 0;
    std::uint64_t errors = 0;
};

/// Counts the requests that arrive within a time by how they end.
/// Thread safety of all methods: none.
class load_tally
{
public:
    /// Precondition: the load outlives the object.
    explicit load_tally(request_load const& chosen)
        : load(chosen), found(chosen.routes.size())
    {
    }

    /// Forgets what it counted; counts requests that arrive within this. No
    /// precondition.
    void count_within(time_point from, time_point until)
    {
        this->begin = from;
        this->end = until;
        this->found.assign(this->load.routes.size(), {});
    }

    /// What is counted of a request that arrived then; null if nothing is.
    /// Precondition: the load has the route.
    [[nodiscard]] load_outcome*
    outcome_of(std::size_t route, time_point arrived_at)
    {
        bool const is_counted =
            arrived_at >= this->begin && arrived_at < this->end;
        return is_counted ? &this->found[route] : nullptr;
    }

    void note_answer(std::size_t route, time_point arrived_at, time_point now)
    {
        load_outcome* const counted = this->outcome_of(route, arrived_at);
        if (counted == nullptr)
            return;
        bool const is_in_time =
            now - arrived_at <= this->load.routes[route].target;
        ++(is_in_time ? counted->in_time : counted->late);
    }

    /// By route. No precondition.
    [[nodiscard]] std::vector<load_outcome> const& outcomes() const
    {
        return this->found;
    }

private:
    request_load const& load;
    std::vector<load_outcome> found;
    time_point begin;
    time_point end;
};

} // namespace cairnhead::emulator
