#include <runtime/answer_builder.hpp>

#include <model/directory.hpp>

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

/// The name of a failure domain where it is known.
/// FIXME: Only the own name is. VMs tell each other hashes of the names, and
/// documents are compiled to hashes, so the others are shown as numbers.
std::string
domain_text(daemon_settings const& settings, failure_domain_id domain)
{
    if (domain == settings.reducer.self.domain)
        return settings.failure_domain;
    std::array<char, sizeof("id-00000000")> text{};
    std::snprintf(text.data(), text.size(), "id-%08x", domain.value());
    return text.data();
}

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
    std::vector<member_answer> answers;
    for (member const& known : view.decided.members)
    {
        answers.push_back(
            {known.id, domain_text(settings, known.domain), known.life,
             known.status});
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
    std::vector<upstream_answer> answers;
    for (placement::upstream_view const& each : view.decided.upstreams)
    {
        upstream_answer answer = make_upstream(each);
        upstream const* const declared =
            view.decided.declarations->find_upstream(each.upstream);
        if (declared != nullptr)
        {
            answer.name = declared->name;
            answer.failure_domain = domain_text(settings, declared->domain);
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
