#pragma once

#include <base/identifiers.hpp>

#include <absl/container/flat_hash_set.h>
#include <cstddef>
#include <deque>
#include <optional>

namespace cairnhead
{

/// Addresses that wait for a ping because a VM may live there: each once, in
/// the order found. Thread safety of all methods: none.
class contact_queue
{
public:
    /// Adds an address unless it waits already or too many do.
    /// No precondition.
    void push(vm_id vm)
    {
        if (this->order.size() < maximum_contacts &&
            this->waiting.insert(vm).second)
            this->order.push_back(vm);
    }

    /// Takes the one that waits longest. No precondition.
    [[nodiscard]] std::optional<vm_id> take()
    {
        if (this->order.empty())
            return std::nullopt;
        vm_id const first = this->order.front();
        this->order.pop_front();
        this->waiting.erase(first);
        return first;
    }

private:
    /// Bounds memory against a platform list that is wrong.
    static constexpr std::size_t maximum_contacts = 4096;

    std::deque<vm_id> order;
    absl::flat_hash_set<vm_id> waiting;
};

} // namespace cairnhead
