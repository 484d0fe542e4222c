#include <ownership/ownership_table.hpp>

#include <base/hash.hpp>

#include <algorithm>
#include <cassert>

namespace cairnhead
{

namespace
{

std::uint32_t to_coarse_second(time_point moment)
{
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::seconds>(
            moment.time_since_epoch())
            .count());
}

} // namespace

ownership_table::ownership_table(
    ownership_settings const& initial_settings, std::size_t slot_count)
    : settings(initial_settings), slots(slot_count)
{
}

void ownership_table::set_candidates(
    time_point now, std::span<ownership_candidate const> changed)
{
    assert(std::ranges::is_sorted(changed, {}, &ownership_candidate::id));
    candidate_change const change = this->register_candidates(changed);
    if (change.joined.empty() && change.restarted.empty() &&
        !change.has_removed)
        return;
    ++this->current_epoch;
    for (std::size_t number = 0; number < this->slots.size(); ++number)
    {
        this->note_restart(now, number, change.restarted);
        if (!this->is_ranking_needed(number, change))
            continue;
        this->rank(now, number);
    }
    this->drop_unused_vms();
}

bool ownership_table::is_empty() const
{
    return this->candidates.empty();
}

flow_holders ownership_table::holders_of(flow_id flow) const
{
    assert(!this->is_empty());
    slot const& found = this->slot_of(flow);
    return {this->known[found.owner].vm.id, this->known[found.backup].vm.id};
}

ownership_table::vm_list
ownership_table::earlier_holders_of(time_point now, flow_id flow) const
{
    vm_list holders;
    if (!this->has_changed_since(now - this->settings.history_retention, flow))
        return holders;
    for (vm_index const holder : this->slot_of(flow).earlier)
    {
        if (holder == no_vm)
            continue;
        holders.push_back(this->known[holder].vm.id);
    }
    return holders;
}

bool ownership_table::has_changed_since(time_point since, flow_id flow) const
{
    std::uint32_t const second = this->slot_of(flow).changed_second;
    return second != 0 && second >= to_coarse_second(since);
}

ownership_table::vm_list ownership_table::copy_targets(
    vm_id self, flow_id flow, std::uint32_t copied_epoch) const
{
    vm_list targets;
    if (this->is_copied(flow, copied_epoch))
        return targets;
    flow_holders const holders = this->holders_of(flow);
    slot const& held = this->slot_of(flow);
    bool const is_holder = holders.owner == self || holders.backup == self;
    bool const has_keeper =
        held.kept != no_vm && copied_epoch >= held.previous_epoch;
    if (!is_holder && has_keeper)
        return targets;
    if (holders.owner != self)
        targets.push_back(holders.owner);
    if (holders.backup != self && holders.has_backup())
        targets.push_back(holders.backup);
    return targets;
}

bool ownership_table::is_copied(flow_id flow, std::uint32_t copied_epoch) const
{
    return copied_epoch >= this->slot_of(flow).changed_epoch;
}

std::uint32_t ownership_table::epoch() const
{
    return this->current_epoch;
}

std::size_t ownership_table::slot_number_of(flow_id flow) const
{
    return flow.value() % this->slots.size();
}

ownership_table::slot const& ownership_table::slot_of(flow_id flow) const
{
    return this->slots[slot_number_of(flow)];
}

ownership_table::candidate_change ownership_table::register_candidates(
    std::span<ownership_candidate const> changed)
{
    candidate_change change;
    std::vector<vm_index> present;
    present.reserve(changed.size());
    for (ownership_candidate const& vm : changed)
    {
        auto const [entry, is_new] = this->index_by_id.try_emplace(
            vm.id, static_cast<vm_index>(this->known.size()));
        if (is_new)
            this->known.push_back({vm, false});
        vm_index const index = entry->second;
        known_vm& seen = this->known[index];
        if (!seen.is_candidate || seen.vm.domain != vm.domain)
            change.joined.push_back(index);
        else if (seen.vm.life != vm.life)
            change.restarted.push_back(index);
        seen = {vm, true};
        present.push_back(index);
    }
    std::vector<vm_index> sorted = present;
    std::ranges::sort(sorted);
    for (vm_index const index : this->candidates)
    {
        if (std::ranges::binary_search(sorted, index))
            continue;
        this->known[index].is_candidate = false;
        change.has_removed = true;
    }
    this->candidates = std::move(present);
    return change;
}

std::uint64_t ownership_table::score(std::size_t slot_number, vm_index vm) const
{
    return hash_pair(slot_number, this->known[vm].vm.id.value());
}

bool ownership_table::is_gone(vm_index vm) const
{
    return vm == no_vm || !this->known[vm].is_candidate;
}

bool ownership_table::is_ranking_needed(
    std::size_t slot_number, candidate_change const& change) const
{
    slot const& present = this->slots[slot_number];
    if (this->is_gone(present.owner) || this->is_gone(present.backup))
        return true;
    return std::ranges::any_of(
        change.joined,
        [&](vm_index joined)
        {
            return this->would_hold(slot_number, joined);
        });
}

bool ownership_table::would_hold(std::size_t slot_number, vm_index joined) const
{
    slot const& present = this->slots[slot_number];
    if (joined == present.owner || joined == present.backup)
        return true;
    std::uint64_t const joined_score = this->score(slot_number, joined);
    if (joined_score > this->score(slot_number, present.owner))
        return true;
    failure_domain_id const owner_domain = this->known[present.owner].vm.domain;
    bool const is_apart = this->known[joined].vm.domain != owner_domain;
    bool const is_backup_apart =
        this->known[present.backup].vm.domain != owner_domain;
    if (is_apart != is_backup_apart)
        return is_apart;
    if (present.backup == present.owner)
        return true;
    return joined_score > this->score(slot_number, present.backup);
}

void ownership_table::rank(time_point now, std::size_t slot_number)
{
    slot& changed = this->slots[slot_number];
    vm_index const owner = this->best_owner(slot_number);
    if (owner == no_vm)
    {
        this->replace_holders(now, changed, no_vm, no_vm);
        return;
    }
    vm_index const backup = this->best_backup(slot_number, owner);
    this->replace_holders(now, changed, owner, backup);
}

void ownership_table::note_restart(
    time_point now,
    std::size_t slot_number,
    std::span<vm_index const> restarted)
{
    slot& present = this->slots[slot_number];
    for (vm_index const vm : restarted)
    {
        if (vm != present.owner && vm != present.backup)
            continue;
        // The VM has the same place but lost its pins: without a new stamp
        // the other holder would believe that both still have them.
        this->stamp_change(now, present);
        present.kept = vm == present.owner ? present.backup : present.owner;
        if (present.kept == vm)
            present.kept = no_vm;
    }
}

ownership_table::vm_index
ownership_table::best_owner(std::size_t slot_number) const
{
    vm_index best = no_vm;
    std::uint64_t best_score = 0;
    for (vm_index const vm : this->candidates)
    {
        std::uint64_t const vm_score = this->score(slot_number, vm);
        if (best != no_vm && vm_score <= best_score)
            continue;
        best = vm;
        best_score = vm_score;
    }
    return best;
}

ownership_table::vm_index
ownership_table::best_backup(std::size_t slot_number, vm_index owner) const
{
    vm_index best = owner;
    std::uint64_t best_score = 0;
    bool is_best_apart = false;
    failure_domain_id const owner_domain = this->known[owner].vm.domain;
    for (vm_index const vm : this->candidates)
    {
        if (vm == owner)
            continue;
        bool const is_apart = this->known[vm].vm.domain != owner_domain;
        if (is_best_apart && !is_apart)
            continue;
        std::uint64_t const vm_score = this->score(slot_number, vm);
        bool const is_better =
            best == owner || is_apart != is_best_apart || vm_score > best_score;
        if (!is_better)
            continue;
        best = vm;
        best_score = vm_score;
        is_best_apart = is_apart;
    }
    return best;
}

void ownership_table::replace_holders(
    time_point now, slot& changed, vm_index owner, vm_index backup)
{
    if (changed.owner == owner && changed.backup == backup)
        return;
    vm_index const old_owner = changed.owner;
    vm_index const old_backup = changed.backup;
    auto const was_holder = [&](vm_index vm)
    {
        return vm != no_vm && (vm == old_owner || vm == old_backup);
    };
    changed.kept = no_vm;
    if (was_holder(owner))
        changed.kept = owner;
    else if (was_holder(backup))
        changed.kept = backup;
    changed.owner = owner;
    changed.backup = backup;
    if (old_backup != owner && old_backup != backup)
        remember(changed, old_backup);
    if (old_owner != owner && old_owner != backup)
        remember(changed, old_owner);
    forget(changed, owner);
    forget(changed, backup);
    this->stamp_change(now, changed);
}

void ownership_table::stamp_change(time_point now, slot& changed) const
{
    // Two changes in one epoch (a restart and a join) count as one.
    if (changed.changed_epoch != this->current_epoch)
        changed.previous_epoch = changed.changed_epoch;
    changed.changed_epoch = this->current_epoch;
    changed.changed_second = std::max(1U, to_coarse_second(now));
}

void ownership_table::remember(slot& changed, vm_index holder)
{
    if (holder == no_vm)
        return;
    forget(changed, holder);
    std::span<vm_index> const earlier = changed.earlier;
    std::move_backward(earlier.begin(), earlier.end() - 1, earlier.end());
    earlier.front() = holder;
}

void ownership_table::forget(slot& changed, vm_index holder)
{
    if (holder == no_vm)
        return;
    std::span<vm_index> const earlier = changed.earlier;
    auto const kept_end = std::remove(earlier.begin(), earlier.end(), holder);
    std::fill(kept_end, earlier.end(), no_vm);
}

void ownership_table::drop_unused_vms()
{
    // VMs are replaced with new addresses every day. Without this the index
    // would run out of its 16 bits after some weeks of replacements.
    constexpr std::size_t slack = 4'096;
    if (this->known.size() < 2 * this->candidates.size() + slack)
        return;
    std::vector<bool> is_used(this->known.size(), false);
    for (vm_index const vm : this->candidates)
        is_used[vm] = true;
    for (slot const& present : this->slots)
    {
        for (vm_index const vm : present.earlier)
        {
            if (vm != no_vm)
                is_used[vm] = true;
        }
    }
    std::vector<vm_index> moved_to(this->known.size(), no_vm);
    std::vector<known_vm> kept_vms;
    this->index_by_id.clear();
    for (std::size_t vm = 0; vm < this->known.size(); ++vm)
    {
        if (!is_used[vm])
            continue;
        moved_to[vm] = static_cast<vm_index>(kept_vms.size());
        this->index_by_id.emplace(this->known[vm].vm.id, moved_to[vm]);
        kept_vms.push_back(this->known[vm]);
    }
    this->known = std::move(kept_vms);
    auto const move_index = [&](vm_index& vm)
    {
        if (vm != no_vm)
            vm = moved_to[vm];
    };
    std::ranges::for_each(this->candidates, move_index);
    for (slot& present : this->slots)
    {
        move_index(present.owner);
        move_index(present.backup);
        move_index(present.kept);
        std::ranges::for_each(present.earlier, move_index);
    }
}

} // namespace cairnhead
