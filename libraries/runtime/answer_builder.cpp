#include <runtime/answer_builder.hpp>

#include <model/directory.hpp>

#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <array>
#include <cstdio>

namespace cairnhead
{

namespace
{

vm_state to_vm_state(serving_state state)
{
    switch (state)
    {
    case serving_state::joining:
        return vm_state::joining;
    case serving_state::serving:
        return vm_state::serving;
    case serving_state::view_expired:
        return vm_state::view_expired;
    case serving_state::leaving:
        return vm_state::leaving;
    }
    return vm_state::joining;
}

explained_rule to_explained_rule(routing_rule rule)
{
    switch (rule)
    {
    case routing_rule::own_pin:
        return explained_rule::own_pin;
    case routing_rule::ask_owner:
        return explained_rule::ask_owner;
    case routing_rule::ask_earlier_holders:
        return explained_rule::ask_earlier_holders;
    case routing_rule::place_opening:
        return explained_rule::place_opening;
    case routing_rule::unknown_destination:
        return explained_rule::unknown_destination;
    }
    return explained_rule::unknown_destination;
}

/// Names of failure domains. VMs tell each other hashes of the names only;
/// the declared upstreams and the own settings give the names back.
class domain_names
{
public:
    domain_names(daemon_settings const& settings, daemon_view const& view)
    {
        for (upstream const& each : view.decided.declarations->upstreams())
            this->names.emplace(each.domain, each.domain_name);
        this->names[settings.reducer.self.domain] = settings.failure_domain;
    }

    /// The name, or the hash where no upstream stands in the domain.
    [[nodiscard]] std::string name_of(failure_domain_id domain) const
    {
        auto const known = this->names.find(domain);
        if (known != this->names.end())
            return known->second;
        std::array<char, sizeof("id-00000000")> text{};
        std::snprintf(text.data(), text.size(), "id-%08x", domain.value());
        return text.data();
    }

private:
    absl::flat_hash_map<failure_domain_id, std::string> names;
};

std::uint32_t count_members(reducer_view const& view, auto const& is_counted)
{
    auto const count = std::ranges::count_if(
        view.members,
        [&](member const& known)
        {
            return is_counted(known.status);
        });
    return static_cast<std::uint32_t>(count);
}

bool is_there(member_status status)
{
    return status == member_status::alive || status == member_status::leaving;
}

bool is_suspect(member_status status)
{
    return status == member_status::suspect;
}

bool is_dead(member_status status)
{
    return status == member_status::dead;
}

service_answer make_service(service const& shown)
{
    service_answer answer;
    answer.name = shown.name;
    answer.address = shown.address;
    answer.traffic = shown.traffic;
    answer.prefer = shown.prefer;
    answer.refusal = shown.refusal;
    answer.is_idempotent = shown.is_idempotent;
    answer.upstreams = static_cast<std::uint32_t>(shown.upstreams.size());
    return answer;
}

upstream_answer make_upstream(placement::upstream_view const& shown)
{
    upstream_answer answer;
    answer.id = shown.upstream;
    answer.flows = shown.flows;
    answer.condition = shown.condition;
    answer.reported_load_permille = shown.reported_load_permille;
    answer.is_ejected = shown.is_ejected;
    answer.is_cold = shown.is_cold;
    return answer;
}

} // namespace

status_answer
make_status(daemon_settings const& settings, daemon_view const& view)
{
    reducer_view const& decided = view.decided;
    status_answer answer;
    answer.vm = decided.self.id;
    answer.failure_domain = settings.failure_domain;
    answer.state = to_vm_state(decided.state);
    answer.pins = decided.pins;
    answer.members_alive = count_members(decided, is_there);
    answer.members_suspect = count_members(decided, is_suspect);
    answer.members_dead = count_members(decided, is_dead);
    answer.documents = decided.documents;
    answer.documents_generation = decided.documents_generation;
    answer.is_reader = decided.is_reader;
    answer.packets = view.packets;
    return answer;
}

std::vector<member_answer>
make_members(daemon_settings const& settings, daemon_view const& view)
{
    domain_names const names(settings, view);
    std::vector<member_answer> answers;
    for (member const& known : view.decided.members)
    {
        answers.push_back(
            {known.id, names.name_of(known.domain), known.life, known.status});
    }
    return answers;
}

std::vector<service_answer> make_services(daemon_view const& view)
{
    std::vector<service_answer> answers;
    for (service const& each : view.decided.declarations->services())
        answers.push_back(make_service(each));
    return answers;
}

std::vector<upstream_answer>
make_upstreams(daemon_settings const& settings, daemon_view const& view)
{
    domain_names const names(settings, view);
    std::vector<upstream_answer> answers;
    for (placement::upstream_view const& each : view.decided.upstreams)
    {
        upstream_answer answer = make_upstream(each);
        upstream const* const declared =
            view.decided.declarations->find_upstream(each.upstream);
        if (declared != nullptr)
        {
            answer.name = declared->name;
            answer.failure_domain = names.name_of(declared->domain);
        }
        answers.push_back(std::move(answer));
    }
    return answers;
}

explain_answer make_explanation(flow_explanation const& found)
{
    explain_answer answer;
    answer.service = found.service;
    if (found.holders.owner != vm_id())
        answer.owner = found.holders.owner;
    if (found.holders.has_backup())
        answer.backup = found.holders.backup;
    answer.pinned = found.pinned;
    answer.rule = to_explained_rule(found.rule);
    answer.predicted = found.predicted;
    answer.documents_generation = found.documents_generation;
    return answer;
}

} // namespace cairnhead
