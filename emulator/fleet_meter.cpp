#include <emulator/fleet_meter.hpp>

#include <numeric>

namespace cairnhead::emulator
{

std::string_view to_text(violation kind)
{
    switch (kind)
    {
    case violation::version_fell:
        return "version_fell";
    case violation::change_late:
        return "change_late";
    case violation::wrong_death:
        return "wrong_death";
    case violation::start_late:
        return "start_late";
    }
    return "unknown";
}

fleet_meter::fleet_meter(std::uint32_t vms) : by_vm(vms)
{
}

void fleet_meter::reset(time_point now)
{
    this->began_at = now;
    this->by_vm.assign(this->by_vm.size(), {});
    this->progress.clear();
    this->calls = 0;
    this->by_kind.fill(0);
}

void fleet_meter::note_message(
    std::uint32_t sender,
    std::uint32_t receiver,
    std::size_t bytes,
    bool is_between_domains,
    std::size_t kind)
{
    vm_cost& from = this->by_vm[sender];
    from.sent_bytes += bytes;
    ++from.datagrams;
    if (is_between_domains)
        from.bytes_between_domains += bytes;
    this->by_vm[receiver].received_bytes += bytes;
    this->by_kind[kind] += bytes;
}

void fleet_meter::note_platform_call(std::uint32_t vm, std::uint64_t bytes)
{
    ++this->calls;
    this->by_vm[vm].received_bytes += bytes;
}

void fleet_meter::note_time(std::uint32_t vm, duration spent)
{
    this->by_vm[vm].processor_time += spent;
}

void fleet_meter::note_published(
    time_point now, std::size_t document, document_version version)
{
    this->progress.push_back(
        {now, document, version, std::vector<bool>(this->by_vm.size()), {}});
}

void fleet_meter::note_in_force(
    time_point now,
    std::uint32_t vm,
    std::size_t document,
    document_version version)
{
    for (change_progress& change : this->progress)
    {
        bool const is_news = change.document == document &&
                             change.version <= version &&
                             !change.is_in_force[vm];
        if (!is_news)
            continue;
        change.is_in_force[vm] = true;
        change.last_in_force_at = now;
    }
}

void fleet_meter::note_violation(violation kind)
{
    ++this->found[static_cast<std::size_t>(kind)];
}

duration fleet_meter::elapsed(time_point now) const
{
    return now - this->began_at;
}

std::vector<vm_cost> const& fleet_meter::costs() const
{
    return this->by_vm;
}

std::vector<change_progress> const& fleet_meter::changes() const
{
    return this->progress;
}

std::uint64_t fleet_meter::platform_calls() const
{
    return this->calls;
}

std::uint64_t fleet_meter::violations() const
{
    return std::accumulate(
        this->found.begin(), this->found.end(), std::uint64_t{0});
}

std::uint64_t fleet_meter::violations_of(violation kind) const
{
    return this->found[static_cast<std::size_t>(kind)];
}

std::uint64_t fleet_meter::bytes_of_kind(std::size_t kind) const
{
    return this->by_kind[kind];
}

} // namespace cairnhead::emulator
