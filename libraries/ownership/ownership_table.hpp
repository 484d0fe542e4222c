#pragma once

#include <base/time.hpp>
#include <event/settings.hpp>

#include <absl/container/inlined_vector.h>
#include <cstdint>
#include <span>
#include <vector>

namespace cairnhead
{

/// A VM that may own flows.
struct ownership_candidate
{
    vm_id id;
    failure_domain_id domain;

    bool operator==(ownership_candidate const&) const = default;
};

/// Which VMs keep the pin of a flow.
struct flow_holders
{
    vm_id owner;
    /// Of another failure domain where there is one; equal to `owner` when
    /// there is no second VM.
    vm_id backup;

    [[nodiscard]] bool has_backup() const
    {
        return this->owner != this->backup;
    }

    bool operator==(flow_holders const&) const = default;
};

/// Derives the owner and the backup of each flow from the members alone, so
/// that no table of flows ever travels. Flows fall into a fixed number of
/// slots; each slot ranks the candidates by rendezvous hashing, so a change
/// of one VM moves only the slots which that VM gains or loses.
///
/// Also remembers who held a slot before, as VMs that join or return must
/// ask them for pins.
/// Thread safety of all methods: none; one thread, the reducer's.
class ownership_table
{
public:
    /// Slots per table. More slots spread 2,200 VMs more evenly (about 30
    /// slots each) at 20 bytes a slot.
    static constexpr std::size_t slot_count = 65'536;

    explicit ownership_table(ownership_settings const& settings);

    /// The VMs that may own flows have changed. Precondition: sorted by id,
    /// no id twice. Costs one hash per slot and changed VM, and a full ranking
    /// of the slots that a removed VM held.
    void set_candidates(
        time_point now, std::span<ownership_candidate const> changed);

    /// Whether there is any candidate. No precondition.
    [[nodiscard]] bool is_empty() const;

    /// Precondition: not empty.
    [[nodiscard]] flow_holders holders_of(flow_id flow) const;

    /// VMs that held the flow's slot within the retention, most recent first,
    /// without the present holders. No precondition.
    using earlier_holders = absl::InlinedVector<vm_id, 4>;
    [[nodiscard]] earlier_holders
    earlier_holders_of(time_point now, flow_id flow) const;

    /// The table's epoch in which the flow's holders last changed. A pin that
    /// was last copied in an earlier epoch may lack a copy. No precondition.
    [[nodiscard]] std::uint32_t changed_epoch_of(flow_id flow) const;

    /// Grows by one with each change of candidates. No precondition.
    [[nodiscard]] std::uint32_t epoch() const;

private:
    /// Index into `known`; keeps a slot small.
    using vm_index = std::uint16_t;
    static constexpr vm_index no_vm = 0xffff;
    static constexpr std::size_t earlier_count = 4;

    struct slot
    {
        vm_index owner = no_vm;
        vm_index backup = no_vm;
        vm_index earlier[earlier_count] = {no_vm, no_vm, no_vm, no_vm};
        std::uint32_t changed_epoch = 0;
        /// Earlier holders are forgotten after this moment, in seconds of the
        /// monotonic clock: coarse, to keep a slot small.
        std::uint32_t earlier_until = 0;
    };

    struct known_vm
    {
        vm_id id;
        failure_domain_id domain;
        bool is_candidate = false;
    };

    [[nodiscard]] static std::size_t slot_index(flow_id flow);
    [[nodiscard]] vm_index index_of(ownership_candidate const& vm);
    [[nodiscard]] std::uint64_t
    score(std::size_t slot_number, vm_index vm) const;
    void rank(time_point now, std::size_t slot_number);
    void consider_joined(
        time_point now,
        std::size_t slot_number,
        std::span<vm_index const> joined);
    void replace_holders(
        time_point now, slot& changed, vm_index owner, vm_index backup);
    static void remember(slot& changed, vm_index holder);
    [[nodiscard]] vm_index
    best_backup(std::size_t slot_number, vm_index owner) const;

    ownership_settings settings;
    std::vector<known_vm> known;
    std::vector<vm_index> candidates;
    std::vector<slot> slots;
    std::uint32_t current_epoch = 0;
};

} // namespace cairnhead
