#pragma once

#include <base/time.hpp>

#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <vector>

namespace cairnhead::emulator
{

/// Actions that wait for their moment of the injected time. Those of the same
/// moment run in the order in which they were added.
class agenda
{
public:
    explicit agenda(time_point start) : clock(start)
    {
    }

    [[nodiscard]] time_point now() const
    {
        return this->clock;
    }

    void add(time_point at, std::function<void()> action)
    {
        this->waiting.push({at, this->next_order++, std::move(action)});
    }

    /// Runs all that is due within the length.
    void run_for(duration length)
    {
        time_point const end = this->clock + length;
        while (!this->waiting.empty() && this->waiting.top().at <= end)
        {
            entry const next = this->waiting.top();
            this->waiting.pop();
            this->clock = next.at;
            next.action();
        }
        this->clock = end;
    }

private:
    struct entry
    {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(entry const& other) const
        {
            return std::tie(this->at, this->order) >
                   std::tie(other.at, other.order);
        }
    };

    time_point clock;
    std::uint64_t next_order = 0;
    std::priority_queue<entry> waiting;
};

} // namespace cairnhead::emulator
