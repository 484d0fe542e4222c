#include <runtime/answer_builder.hpp>

#include <model/directory.hpp>
#include <registry/tag.hpp>

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

shown_verdict to_shown_verdict(upstream_verdict verdict)
{
    switch (verdict)
    {
    case upstream_verdict::ready:
        return shown_verdict::ready;
    case upstream_verdict::avoided:
        return shown_verdict::avoided;
    case upstream_verdict::unreachable:
        return shown_verdict::unreachable;
    case upstream_verdict::domain_unreachable:
        return shown_verdict::domain_unreachable;
    case upstream_verdict::missing:
        return shown_verdict::missing;
    case upstream_verdict::gone:
        return shown_verdict::gone;
    case upstream_verdict::draining:
        return shown_verdict::draining;
    case upstream_verdict::evacuated:
        return shown_verdict::evacuated;
    case upstream_verdict::cold:
        return shown_verdict::cold;
    case upstream_verdict::ejected:
        return shown_verdict::ejected;
    }
    return shown_verdict::gone;
}

using optional_length = std::optional<std::chrono::milliseconds>;

optional_length length_between(
    std::optional<time_point> const& begin,
    std::optional<time_point> const& end)
{
    if (!begin || !end)
        return std::nullopt;
    return std::chrono::duration_cast<std::chrono::milliseconds>(*end - *begin);
}

std::optional<rating_answer>
make_rating(time_point now, std::optional<upstream_rating> const& held)
{
    if (!held)
        return std::nullopt;
    return rating_answer{
        .relative_permille = held->relative_permille,
        .short_permille = held->short_permille,
        .work_permille = held->work_permille,
        .is_ejected = held->is_ejected,
        .in_force_for = std::chrono::duration_cast<std::chrono::milliseconds>(
            held->expires_at - now)};
}

belief_answer make_belief(time_point now, upstream_view const& held)
{
    return {
        .verdict = to_shown_verdict(held.verdict),
        .load_permille = held.load_permille,
        .unanswered = held.unanswered,
        .answered_ago = length_between(held.answered_at, now),
        .silent_for = length_between(held.silent_since, now),
        .avoided_for = length_between(now, held.avoided_until),
        .missing_for = length_between(held.missing_since, now),
        .rating = make_rating(now, held.rating)};
}

upstream_answer make_upstream(time_point now, shown_upstream const& shown)
{
    upstream_answer answer;
    answer.id = shown.state.upstream;
    answer.flows = shown.state.flows;
    answer.condition = shown.state.condition;
    answer.reported_load_permille = shown.state.reported_load_permille;
    answer.is_ejected = shown.state.is_ejected;
    answer.is_cold = shown.state.is_cold;
    answer.slots = shown.slots;
    if (shown.belief)
        answer.belief = make_belief(now, *shown.belief);
    return answer;
}

upstream_answer
make_candidate(time_point now, upstream_candidate const& candidate)
{
    registered_upstream const& registered = candidate.registered;
    upstream_answer answer;
    answer.id = upstream_id(registered.address.value());
    answer.name = name_of_instance(registered.instance);
    answer.failure_domain = registered.failure_domain;
    answer.flows = candidate.flows;
    answer.slots = registered.slots;
    answer.belief = make_belief(now, candidate.view);
    return answer;
}

bool may_take_flows(upstream_verdict verdict)
{
    return verdict != upstream_verdict::draining &&
           verdict != upstream_verdict::gone &&
           verdict != upstream_verdict::evacuated &&
           verdict != upstream_verdict::cold;
}

/// Ages of the registry's documents, in those of its answers that name
/// them.
std::vector<document_answer>
make_registry(time_point now, registry_knowledge const& known)
{
    return {
        {std::string(route_document_name), known.routes,
         length_between(known.routes_since, now)},
        {std::string(upstream_document_name), known.upstreams,
         length_between(known.upstreams_since, now)},
        {std::string(evacuation_document_name), known.evacuations,
         length_between(known.evacuations_since, now)}};
}

std::vector<document_answer> make_documents(reducer_view const& decided)
{
    auto const registry = make_registry(decided.taken_at, decided.registry);
    std::vector<document_answer> answers;
    for (document_stamp const& held : decided.documents)
    {
        document_answer answer{held.name, held.version, std::nullopt};
        for (document_answer const& dated : registry)
        {
            if (dated.name == held.name && dated.version == held.version)
                answer.age = dated.age;
        }
        answers.push_back(std::move(answer));
    }
    return answers;
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
    answer.documents = make_documents(decided);
    answer.documents_generation = decided.documents_generation;
    answer.is_reader = decided.is_reader;
    answer.evacuated_domains = decided.evacuated_domains;
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
    for (shown_upstream const& each : view.decided.upstreams)
    {
        upstream_answer answer = make_upstream(view.decided.taken_at, each);
        upstream const* const declared =
            view.decided.declarations->find_upstream(each.state.upstream);
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
    answer.pool = found.pool;
    for (upstream_candidate const& candidate : found.candidates)
        answer.candidates.push_back(make_candidate(found.asked_at, candidate));
    if (!found.candidates.empty() &&
        may_take_flows(found.candidates.front().view.verdict))
        answer.would_get = answer.candidates.front().id;
    if (found.asked_at != time_point())
        answer.documents = make_registry(found.asked_at, found.registry);
    return answer;
}

} // namespace cairnhead
