#include <story/flow_story.hpp>
#include <story/story_parts.hpp>

#include <base/ipv4.hpp>

#include <algorithm>
#include <array>
#include <set>
#include <tuple>
#include <utility>

namespace cairnhead
{

namespace
{

using std::chrono_literals::operator""s;

/// Beliefs this long before a flow's first line may have decided about it:
/// verdicts on upstreams hold for seconds.
constexpr auto lead = 5s;
/// What follows a failure, such as a restart, is seen within this.
constexpr auto aftermath = 2s;

/// Events about the VM itself, or all of its flows.
constexpr std::array<std::string_view, 17> vm_events{
    "started",
    "ended",
    "ended_at_once",
    "leave_awaits_turn",
    "leave_started",
    "leave_finished",
    "ready",
    "view_expired",
    "view_refreshed",
    "domain_unreachable",
    "domain_reachable",
    "domain_silent",
    "domain_heard",
    "platform_unreachable",
    "platform_reachable",
    "lines_suppressed",
    "settings_read_again"};

/// Caller and route, by which the ends know a flow.
using flow_name = std::pair<std::string, std::string>;

bool is_asked_for(log_record const& record, story_question const& question)
{
    bool const is_in_time = (!question.from || record.time >= *question.from) &&
                            (!question.until || record.time <= *question.until);
    if (!is_of_flow(record) || !is_in_time)
        return false;
    std::string const address = format_ipv4(question.address);
    std::string_view const caller = record.value_of("caller");
    if (question.port)
        return caller == address + ":" + std::to_string(*question.port);
    return caller.starts_with(address + ":") ||
           record.value_of("at") == address;
}

/// The flow's own lines, and what it met.
struct flow_trace
{
    std::vector<story_line> lines;
    /// Addresses of its upstreams.
    std::set<std::string, std::less<>> upstreams;
    std::set<std::string_view> vms;
};

flow_trace trace(std::span<vm_log const> logs, flow_name const& name)
{
    flow_trace found;
    for (vm_log const& log : logs)
    {
        for (log_record const& record : log.records)
        {
            bool const is_its_own = is_of_flow(record) &&
                                    record.value_of("caller") == name.first &&
                                    record.value_of("route") == name.second;
            if (!is_its_own)
                continue;
            found.lines.push_back({log.vm, &record});
            found.vms.insert(log.vm);
            if (!record.value_of("at").empty())
                found.upstreams.emplace(record.value_of("at"));
        }
    }
    return found;
}

bool concerns(flow_trace const& traced, log_record const& record)
{
    if (is_of_flow(record))
        return false;
    if (std::ranges::find(vm_events, record.event) != vm_events.end())
        return true;
    return traced.upstreams.contains(record.value_of("upstream"));
}

/// Lines of one moment stay in the order in which their VM wrote them.
void sort_by_time(std::vector<story_line>& lines)
{
    std::ranges::sort(
        lines, {},
        [](story_line const& line)
        {
            return std::tuple(line.record->time, line.vm, line.record);
        });
}

void add_beliefs(std::span<vm_log const> logs, flow_trace& traced)
{
    auto const begin = traced.lines.front().record->time - lead;
    auto const end = traced.lines.back().record->time + aftermath;
    for (vm_log const& log : logs)
    {
        if (!traced.vms.contains(log.vm))
            continue;
        for (log_record const& record : log.records)
        {
            bool const is_meanwhile =
                record.time >= begin && record.time <= end;
            if (is_meanwhile && concerns(traced, record))
                traced.lines.push_back({log.vm, &record});
        }
    }
}

flow_story tell_story(std::span<vm_log const> logs, flow_name const& name)
{
    flow_trace traced = trace(logs, name);
    sort_by_time(traced.lines);
    flow_story story;
    story.caller = name.first;
    story.route = name.second;
    story.gaps = find_gaps(logs, traced.lines);
    add_beliefs(logs, traced);
    sort_by_time(traced.lines);
    story.conclusion = conclude(traced.lines);
    story.lines = std::move(traced.lines);
    return story;
}

} // namespace

bool is_of_flow(log_record const& record)
{
    return !record.value_of("caller").empty() &&
           !record.value_of("route").empty();
}

std::vector<flow_story>
tell_stories(std::span<vm_log const> logs, story_question const& question)
{
    std::set<flow_name> names;
    for (vm_log const& log : logs)
    {
        for (log_record const& record : log.records)
        {
            if (is_asked_for(record, question))
                names.emplace(
                    record.value_of("caller"), record.value_of("route"));
        }
    }
    std::vector<flow_story> stories;
    stories.reserve(names.size());
    for (flow_name const& name : names)
        stories.push_back(tell_story(logs, name));
    std::ranges::stable_sort(
        stories, {},
        [](flow_story const& story)
        {
            return story.lines.front().record->time;
        });
    return stories;
}

} // namespace cairnhead
