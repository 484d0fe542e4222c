#pragma once

#include <base/identifiers.hpp>
#include <base/time.hpp>

#include <cstddef>
#include <deque>
#include <optional>

namespace cairnhead
{

/// A member and the moment at which its status ends.
struct member_deadline
{
    vm_id vm;
    time_point deadline;
};

/// Deadlines in the order in which they were set, which is their order in
/// time because each queue serves one timeout. An entry that a later change
/// made void stays until it is due; the caller compares it with the member.
/// Thread safety of all methods: none.
class member_deadline_queue
{
public:
    /// Precondition: `deadline` is not before any that was added earlier.
    void push(vm_id vm, time_point deadline)
    {
        this->entries.push_back({vm, deadline});
    }

    /// Takes the first entry that is due. No precondition.
    [[nodiscard]] std::optional<member_deadline> take_due(time_point now)
    {
        if (this->entries.empty() || this->entries.front().deadline > now)
            return std::nullopt;
        member_deadline const first = this->entries.front();
        this->entries.pop_front();
        return first;
    }

    /// No precondition.
    [[nodiscard]] std::size_t size() const
    {
        return this->entries.size();
    }

    /// Precondition: `index < size()`.
    [[nodiscard]] member_deadline const& at(std::size_t index) const
    {
        return this->entries[index];
    }

    /// No precondition.
    void clear()
    {
        this->entries.clear();
    }

private:
    std::deque<member_deadline> entries;
};

} // namespace cairnhead
