#include <story/story_parts.hpp>

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>

/// What became of a flow, from its last telling line.
namespace cairnhead
{

namespace
{

absl::string_view text(std::string_view value)
{
    return {value.data(), value.size()};
}

std::string upstream_of(log_record const& record)
{
    std::string_view const address = record.value_of("at");
    if (address.empty())
        return "an upstream";
    return absl::StrCat(
        "upstream ", text(record.value_of("upstream")), " at ", text(address));
}

std::string milliseconds_of(log_record const& record, std::string_view key)
{
    std::string_view const value = record.value_of(key);
    return value.empty() ? std::string("some time")
                         : absl::StrCat(text(value), " ms");
}

std::string registry_of(log_record const& record)
{
    return absl::StrCat(
        "registry ", text(record.value_of("registry")), ", ",
        milliseconds_of(record, "registry_age_ms"), " in force");
}

/// What was found last about the reach of an upstream or a failure domain, up
/// to the line `at` and by the same VM; null for nothing. Its events begin with
/// `event_prefix`, and `key` names it.
log_record const* find_belief(
    std::span<story_line const> lines,
    story_line const& at,
    std::string_view event_prefix,
    record_field const& key)
{
    log_record const* found = nullptr;
    for (story_line const& line : lines)
    {
        if (line.record == at.record)
            break;
        std::string_view const event = line.record->event;
        bool const is_wanted = line.vm == at.vm &&
                               event.starts_with(event_prefix) &&
                               event.ends_with("reachable") &&
                               line.record->value_of(key.key) == key.value;
        if (is_wanted)
            found = line.record;
    }
    return found;
}

/// Whether the VM held the upstream's whole failure domain for out of reach.
std::string tell_domain(std::span<story_line const> lines, story_line const& at)
{
    log_record const* const verdict = find_belief(
        lines, at, "upstream_",
        {"upstream", std::string(at.record->value_of("at"))});
    if (verdict == nullptr)
        return "";
    std::string const domain(verdict->value_of("failure_domain"));
    log_record const* const belief =
        find_belief(lines, at, "domain_", {"failure_domain", domain});
    if (belief == nullptr || belief->event != "domain_unreachable")
        return "";
    return absl::StrCat(
        " So was its failure domain ", domain,
        ": no upstream and no VM of it answered.");
}

std::string tell_reset(std::span<story_line const> lines, story_line const& at)
{
    log_record const& record = *at.record;
    if (record.value_of("rule") == "address_taken_over")
        return absl::StrCat(
            "Reset: ", upstream_of(record),
            " had ended: another upstream has registered at its address.");
    return absl::StrCat(
        "Reset: ", upstream_of(record), " was out of reach for ", text(at.vm),
        ". Nobody got an answer from it for ",
        milliseconds_of(record, "waited_ms"),
        ", a check of it found nobody while another upstream answered, and so "
        "its flows were reset.",
        tell_domain(lines, at));
}

std::string tell_refused(log_record const& record)
{
    return absl::StrCat(
        "Refused: no upstream of ", text(record.value_of("service")),
        " may take a flow (", text(record.value_of("pool")), " known, ",
        text(record.value_of("ready")), " ready; ", registry_of(record),
        "). Nothing of the request has run.");
}

std::string tell_dropped(log_record const& record)
{
    std::string_view const rule = record.value_of("rule");
    bool const knows_nothing =
        record.value_of("routes") == "0" || record.value_of("registry") == "0";
    if (knows_nothing)
        return "Dropped: the VM had just started, and knew no routes or "
               "upstreams yet. Callers repeat the packet.";
    if (rule == "no_route")
        return absl::StrCat(
            "Dropped: no route has this address (routes ",
            text(record.value_of("routes")), ").");
    if (rule == "held_by_pause")
        return "Dropped: the opening waited while the VM stood still, and its "
               "copy may have been placed elsewhere. Callers repeat it.";
    if (rule == "unknown_tag")
        return absl::StrCat(
            "Dropped: the packets name an upstream that the VM does not know "
            "(",
            registry_of(record), "). It left, or the VM is behind.");
    return "Dropped: the opening carries data, and the service must not run "
           "a request twice. Callers repeat it without data.";
}

std::string tell_abandoned(log_record const& record)
{
    return absl::StrCat(
        "Timed out: nobody answered the opening. It was offered last to ",
        upstream_of(record), ", and for ", milliseconds_of(record, "waited_ms"),
        " no answer was confirmed.");
}

std::string tell_repeated(log_record const& record)
{
    return absl::StrCat(
        "Waiting: ", upstream_of(record),
        " did not acknowledge data that the caller repeated after ",
        milliseconds_of(record, "waited_ms"),
        ". Either packets are lost on the way there, or it hangs; its answers "
        "do not pass the VM.");
}

std::string tell_reoffered(log_record const& record)
{
    return absl::StrCat(
        "Opened late: the upstream asked first did not answer within ",
        milliseconds_of(record, "waited_ms"), ", and the opening went to ",
        upstream_of(record), " as well.");
}

std::string tell_confirmed(log_record const& record)
{
    return absl::StrCat(
        "Open: the caller confirmed the answer of ", upstream_of(record),
        ". What came later on the connection is in that upstream's logs.");
}

std::string tell_placed(log_record const& record)
{
    return absl::StrCat(
        "Open: placed at ", upstream_of(record),
        ", and nothing went wrong that a VM could see. An answer within 50 ms "
        "has no line of its own. Why the request took long or failed is in "
        "that upstream's logs.");
}

/// The last line of the event, or nullptr.
story_line const*
find_last(std::span<story_line const> lines, std::string_view event)
{
    auto const last = std::find_if(
        lines.rbegin(), lines.rend(),
        [event](story_line const& line)
        {
            return line.record->event == event;
        });
    return last == lines.rend() ? nullptr : &*last;
}

/// How one step is told. The first of these that a story has decides.
struct telling
{
    std::string_view event;
    std::string (*tell)(log_record const& record);
};

constexpr std::array<telling, 8> tellings{{
    {"flow_refused", tell_refused},
    {"flow_abandoned", tell_abandoned},
    {"flow_repeated", tell_repeated},
    {"packet_dropped", tell_dropped},
    {"flow_reoffered", tell_reoffered},
    {"flow_confirmed", tell_confirmed},
    {"flow_taken_over", tell_confirmed},
    {"flow_placed", tell_placed},
}};

/// Whether the flow went on after the line.
bool goes_on_after(std::span<story_line const> lines, story_line const& line)
{
    constexpr std::array<std::string_view, 3> steps{
        "flow_placed", "flow_confirmed", "flow_taken_over"};
    auto const later =
        lines.subspan(static_cast<std::size_t>(&line - lines.data()) + 1);
    return std::ranges::any_of(
        later,
        [&steps](story_line const& next)
        {
            return std::ranges::find(steps, next.record->event) != steps.end();
        });
}

/// What became of a flow that lost packets at a VM, and went on.
std::string
tell_going_on(std::span<story_line const> lines, story_line const& dropped)
{
    story_line const* last = find_last(lines, "flow_taken_over");
    if (last == nullptr)
        last = find_last(lines, "flow_confirmed");
    std::string const end =
        last == nullptr ? tell_placed(*find_last(lines, "flow_placed")->record)
                        : tell_confirmed(*last->record);
    return absl::StrCat(
        "Late: ", text(dropped.vm), " dropped packets of it. ",
        tell_dropped(*dropped.record), " Then it went on. ", end);
}

} // namespace

std::string conclude(std::span<story_line const> lines)
{
    if (story_line const* const reset = find_last(lines, "flow_reset"))
        return tell_reset(lines, *reset);
    story_line const* const dropped = find_last(lines, "packet_dropped");
    if (dropped != nullptr && goes_on_after(lines, *dropped))
        return tell_going_on(lines, *dropped);
    for (telling const& each : tellings)
    {
        if (story_line const* const last = find_last(lines, each.event))
            return each.tell(*last->record);
    }
    return "The lines do not tell what became of it.";
}

} // namespace cairnhead
