#pragma once

#include <algorithm>
#include <cstdint>

namespace cairnhead
{

/// Whether the fabric hands this VM the callers' answers to openings that it
/// placed. Thread safety of all methods: none; one thread, the reducer's.
///
/// An opening without a confirmation is offered to a second upstream. Where the
/// fabric chooses a VM for each packet, or moves flows because a VM came or
/// went, the confirmation reached another VM, and the upstream answered. Its
/// caller would get a second answer, whose tag leads the flow's packets to an
/// upstream that does not hold it. One would notice flows that hang, or are
/// reset, while nothing is wrong. So flows that appear here without an opening
/// weigh against confirmations that came.
class opening_returns
{
public:
    /// An opening that this VM placed was confirmed here. No precondition.
    void note_confirmed()
    {
        this->balance = std::min(this->balance + 1, most);
    }

    /// A packet came of a flow that is open and was not known here. No
    /// precondition.
    void note_stranger()
    {
        this->balance = std::max(this->balance - weight_of_stranger, 0);
    }

    /// Whether an opening that was not confirmed here can be called
    /// unanswered. No precondition.
    [[nodiscard]] bool are_expected() const
    {
        return this->balance >= needed;
    }

private:
    /// Where two VMs are chosen from for each packet, one flow of two is a
    /// stranger to each of them.
    static constexpr std::int32_t weight_of_stranger = 2;
    /// Confirmations in a row, without a stranger, after which openings are
    /// offered again: more than come by chance where VMs are chosen for each
    /// packet.
    static constexpr std::int32_t needed = 16;
    /// So many must come back first where a VM has just started: flows of
    /// before are strangers to it, and it may see its own openings confirmed,
    /// or offer some of them a second time in vain, before the first of those
    /// shows.
    static constexpr std::int32_t first_confirmations = 4;
    /// Strangers that a VM takes, twice their weight, before it offers nothing
    /// again: late packets of flows that it forgot are fewer, and a VM that
    /// went leaves more behind.
    static constexpr std::int32_t most = 32;

    std::int32_t balance = needed - first_confirmations;
};

} // namespace cairnhead
