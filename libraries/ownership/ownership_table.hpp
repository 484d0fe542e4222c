#pragma once

#include <base/fixed_list.hpp>
#include <base/time.hpp>
#include <event/settings.hpp>

#include <absl/container/flat_hash_map.h>
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
    /// Changes when the VM restarts and so has lost its pins.
    std::uint64_t life = 0;

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
    /// Slots per table; the same on all VMs. More slots spread VMs more evenly,
    /// and take more memory.
    static constexpr std::size_t usual_slot_count = 65'536;

    /// Precondition: at least one slot.
    explicit ownership_table(
        ownership_settings const& settings,
        std::size_t slot_count = usual_slot_count);

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
    using vm_list = fixed_list<vm_id, 4>;
    [[nodiscard]] vm_list
    earlier_holders_of(time_point now, flow_id flow) const;

    /// Whether the flow's holders changed after `since`. No precondition.
    [[nodiscard]] bool has_changed_since(time_point since, flow_id flow) const;

    /// To which holders `self` should copy a pin that had all its copies in
    /// `copied_epoch`; empty when another VM does so or nothing is missing.
    /// Of the VMs that had the pin, one that is still a holder copies; only
    /// where none is left do the former ones. Precondition: not empty.
    [[nodiscard]] vm_list
    copy_targets(vm_id self, flow_id flow, std::uint32_t copied_epoch) const;

    /// Whether the pin has had no change of holders since that epoch.
    /// No precondition.
    [[nodiscard]] bool
    is_copied(flow_id flow, std::uint32_t copied_epoch) const;

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
        /// The change before that one.
        std::uint32_t previous_epoch = 0;
        /// Second of the monotonic clock in which the holders last changed;
        /// coarse, to keep a slot small.
        std::uint32_t changed_second = 0;
        /// The holder that was one before the last change too, or `no_vm`.
        vm_index kept = no_vm;
    };

    struct known_vm
    {
        ownership_candidate vm;
        bool is_candidate = false;
    };

    /// What one call of `set_candidates` changes.
    struct candidate_change
    {
        std::vector<vm_index> joined;
        std::vector<vm_index> restarted;
        bool has_removed = false;
    };

    [[nodiscard]] std::size_t slot_number_of(flow_id flow) const;
    [[nodiscard]] slot const& slot_of(flow_id flow) const;
    [[nodiscard]] candidate_change
    register_candidates(std::span<ownership_candidate const> changed);
    [[nodiscard]] std::uint64_t
    score(std::size_t slot_number, vm_index vm) const;
    [[nodiscard]] bool is_gone(vm_index vm) const;
    [[nodiscard]] bool is_ranking_needed(
        std::size_t slot_number, candidate_change const& change) const;
    [[nodiscard]] bool
    would_hold(std::size_t slot_number, vm_index joined) const;
    void rank(time_point now, std::size_t slot_number);
    void note_restart(
        time_point now,
        std::size_t slot_number,
        std::span<vm_index const> restarted);
    [[nodiscard]] vm_index best_owner(std::size_t slot_number) const;
    [[nodiscard]] vm_index
    best_backup(std::size_t slot_number, vm_index owner) const;
    void replace_holders(
        time_point now, slot& changed, vm_index owner, vm_index backup);
    void stamp_change(time_point now, slot& changed) const;
    static void remember(slot& changed, vm_index holder);
    static void forget(slot& changed, vm_index holder);
    void drop_unused_vms();

    ownership_settings settings;
    std::vector<known_vm> known;
    absl::flat_hash_map<vm_id, vm_index> index_by_id;
    std::vector<vm_index> candidates;
    std::vector<slot> slots;
    std::uint32_t current_epoch = 0;
};

} // namespace cairnhead
