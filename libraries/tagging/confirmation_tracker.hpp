#pragma once

#include <algorithm>
#include <cstdint>

namespace cairnhead
{

/// Tracks whether the fabric delivers to this VM the callers' confirmations of
/// openings that it placed.
///
/// An opening that is not confirmed is retried at a second upstream. Where the
/// fabric chooses a VM for each packet, or moves flows because a VM joined or
/// left, the confirmation reached another VM, although the upstream answered.
/// The caller would get a second answer, whose tag leads the flow's packets to
/// an upstream that does not hold the flow. Symptom: flows hang or are reset
/// while nothing has failed. So unknown flows, whose opening did not pass this
/// VM, are weighed against confirmations that arrived.
/// No method has a precondition; none is thread-safe: only the reducer's thread
/// calls them.
class confirmation_tracker
{
public:
    /// Records that an opening that this VM placed was confirmed here.
    void record_confirmation()
    {
        this->balance = std::min(this->balance + 1, maximum_balance);
    }

    /// Records a packet of an established flow that had no entry here.
    void record_unknown_flow()
    {
        this->balance = std::max(this->balance - unknown_flow_weight, 0);
    }

    /// Whether confirmations reach this VM, so that an opening without one can
    /// be considered unanswered.
    [[nodiscard]] bool are_delivered_here() const
    {
        return this->balance >= required_balance;
    }

private:
    /// Where the fabric chooses one of two VMs for each packet, every second
    /// flow is an unknown flow to each of them.
    static constexpr std::int32_t unknown_flow_weight = 2;
    /// Confirmations in a row, without an unknown flow, after which openings
    /// are retried: more than arrive by chance where a VM is chosen for each
    /// packet.
    static constexpr std::int32_t required_balance = 16;
    /// Confirmations that a VM needs first when it has just started. Flows from
    /// before its start are unknown to it; before the first packet of one of
    /// them arrives, it may see its own openings confirmed, or retry some of
    /// them to no effect.
    static constexpr std::int32_t first_confirmations = 4;
    /// Bounds the balance, so that more than 8 unknown flows in a row end the
    /// retries. Late packets of flows whose entries were removed are fewer than
    /// that; a VM that left causes more.
    static constexpr std::int32_t maximum_balance = 32;

    std::int32_t balance = required_balance - first_confirmations;
};

} // namespace cairnhead
