#include <story/flow_story.hpp>

#include <criterion/criterion.h>
#include <sstream>

using namespace cairnhead;

namespace
{

constexpr std::string_view caller = "100.64.0.16:1037";
constexpr ipv4_address caller_address{0x64400010};
constexpr std::uint16_t caller_port = 1037;

/// A VM's log; each line begins after `time=` and holds the second's digits.
vm_log make_log(std::string vm, std::string const& text)
{
    vm_log log;
    log.vm = std::move(vm);
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line))
    {
        auto parsed = parse_log_line("time=2026-01-28T00:52:" + line);
        cr_assert(
            std::holds_alternative<log_record>(parsed), "%s", line.c_str());
        log.records.push_back(std::get<log_record>(std::move(parsed)));
    }
    return log;
}

std::string of_flow(
    std::string const& time,
    std::string const& event,
    std::string const& rest,
    std::string_view whose = caller)
{
    return time + "Z level=info event=" + event +
           " caller=" + std::string(whose) + " route=198.18.0.1:443 " + rest +
           "\n";
}

std::vector<flow_story> ask(std::vector<vm_log> const& logs)
{
    return tell_stories(
        logs, {.address = caller_address,
               .port = caller_port,
               .from = std::nullopt,
               .until = std::nullopt});
}

// Stories view the logs.
std::vector<flow_story> ask(std::vector<vm_log>&& logs) = delete;

std::vector<std::string> events_of(flow_story const& story)
{
    std::vector<std::string> events;
    for (story_line const& line : story.lines)
        events.push_back(std::string(line.vm) + " " + line.record->event);
    return events;
}

bool has_gap(flow_story const& story, gap_kind kind, std::string_view vm)
{
    for (story_gap const& gap : story.gaps)
    {
        if (gap.kind == kind && gap.vm == vm)
            return true;
    }
    return false;
}

std::string const placed =
    "service=shop rule=least_loaded upstream=i-01 at=10.1.64.19 registry=61 "
    "registry_age_ms=100";

} // namespace

// Symptom: a caller's flow was reset, and the logs of two VMs tell half of it
// each.
// Sequence: one VM places the flow; another one takes it over, holds its
// upstream for out of reach and resets it.
// Cause found: the verdict, with its evidence, from the second VM.
Test(flow_story, follows_a_flow_over_two_vms)
{
    auto const first = make_log(
        "vm-1", "00.000Z level=info event=started vm=10.1.0.1\n" +
                    of_flow("10.000", "flow_placed", placed) +
                    "20.000Z level=info event=document_in_force document=x\n");
    auto const second = make_log(
        "vm-2",
        "00.000Z level=info event=started vm=10.1.0.2\n" +
            of_flow("11.000", "flow_taken_over", placed) +
            "11.400Z level=warning event=domain_unreachable "
            "failure_domain=dub-c\n"
            "11.500Z level=warning event=upstream_unreachable "
            "upstream=10.1.64.99 silent_ms=1\n"
            "11.600Z level=warning event=upstream_unreachable "
            "upstream=10.1.64.19 failure_domain=dub-c silent_ms=812\n" +
            of_flow(
                "11.600", "flow_reset",
                "rule=found_unreachable upstream=i-01 at=10.1.64.19 "
                "waited_ms=812") +
            of_flow("12.000", "flow_placed", placed, "100.64.0.16:1038") +
            "20.000Z level=info event=platform_unreachable\n");
    std::vector<vm_log> const logs{first, second};
    auto const stories = ask(logs);
    cr_assert_eq(stories.size(), 1);
    flow_story const& told = stories.front();
    std::vector<std::string> const expected{
        "vm-1 flow_placed", "vm-2 flow_taken_over", "vm-2 domain_unreachable",
        "vm-2 upstream_unreachable", "vm-2 flow_reset"};
    auto const events = events_of(told);
    cr_assert_eq(events.size(), expected.size());
    for (std::size_t index = 0; index < events.size(); ++index)
        cr_expect(
            events[index] == expected[index], "%s", events[index].c_str());
    cr_expect(told.gaps.empty());
    cr_expect(
        told.conclusion.starts_with("Reset: upstream i-01 at 10.1.64.19"));
    cr_expect(told.conclusion.find("812 ms") != std::string::npos);
    cr_expect(told.conclusion.find("domain dub-c") != std::string::npos);
}

// Symptom: on-call engineers look for a cut that never was. Sequence: a flow is
// reset as its upstream's address has a new owner. Cause: one text for all
// resets.
Test(flow_story, tells_an_upstream_whose_address_was_taken_over)
{
    auto const log = make_log(
        "vm-1", "00.000Z level=info event=started vm=10.1.0.1\n" +
                    of_flow("10.000", "flow_placed", placed) +
                    of_flow(
                        "11.600", "flow_reset",
                        "rule=address_taken_over upstream=i-01 "
                        "at=10.1.64.19"));
    std::vector<vm_log> const logs{log};
    auto const stories = ask(logs);
    cr_assert_eq(stories.size(), 1);
    std::string const& conclusion = stories.front().conclusion;
    cr_expect(
        conclusion.starts_with("Reset: upstream i-01 at 10.1.64.19 had ended"),
        "%s", conclusion.c_str());
}

Test(flow_story, names_what_the_logs_do_not_tell)
{
    auto const first = make_log(
        "vm-1",
        of_flow("10.000", "flow_taken_over", placed + " logged_one_in=4") +
            "10.500Z level=warning event=lines_suppressed kind=flow_placed "
            "count=12 reason=over_limit\n"
            "10.700Z level=info event=started vm=10.1.0.1\n" +
            of_flow("11.000", "flow_repeated", placed));
    auto const late = make_log(
        "vm-2", "10.900Z level=info event=started vm=10.1.0.2\n"
                "10.950Z level=info event=ready\n");
    std::vector<vm_log> const logs{first, late};
    auto const stories = ask(logs);
    cr_assert_eq(stories.size(), 1);
    flow_story const& told = stories.front();
    cr_expect(has_gap(told, gap_kind::opening_not_told, ""));
    cr_expect(has_gap(told, gap_kind::sampled, "vm-1"));
    cr_expect(has_gap(told, gap_kind::lines_left_out, "vm-1"));
    cr_expect(has_gap(told, gap_kind::restarted, "vm-1"));
    cr_expect(has_gap(told, gap_kind::log_begins_late, "vm-2"));
    cr_expect(has_gap(told, gap_kind::log_ends_early, "vm-2"));
    cr_expect(told.conclusion.starts_with("Waiting:"));
}

Test(flow_story, concludes_from_the_gravest_step)
{
    struct sample
    {
        std::string event;
        std::string rest;
        std::string_view begin;
    };
    std::vector<sample> const table{
        {"flow_refused", "service=shop rule=no_upstream pool=3 ready=0",
         "Refused: no upstream of shop"},
        {"flow_abandoned", "rule=opening_unanswered waited_ms=900",
         "Timed out: nobody answered"},
        {"packet_dropped", "rule=no_route routes=14", "Dropped: no route"},
        {"packet_dropped", "rule=no_route routes=0 registry=0",
         "Dropped: the VM had just started"},
        {"packet_dropped", "rule=unknown_tag routes=0 registry=0",
         "Dropped: the VM had just started"},
        {"packet_dropped", "rule=held_by_pause routes=3 registry=61",
         "Dropped: the opening waited"},
        {"packet_dropped", "rule=unknown_tag registry=61",
         "Dropped: the packets name"},
        {"packet_dropped", "rule=data_in_opening", "Dropped: the opening"},
        {"flow_reoffered", "rule=least_loaded waited_ms=50", "Opened late:"},
        {"flow_confirmed", "rule=named_by_tag waited_ms=70",
         "Open: the caller"},
        {"flow_placed", placed, "Open: placed at upstream i-01"},
    };
    for (sample const& each : table)
    {
        std::vector<vm_log> const logs{make_log(
            "vm-1", of_flow("10.000", "flow_placed", placed) +
                        of_flow("11.000", each.event, each.rest))};
        auto const stories = ask(logs);
        cr_assert_eq(stories.size(), 1);
        cr_expect(
            stories.front().conclusion.starts_with(each.begin), "%s",
            stories.front().conclusion.c_str());
    }
}

Test(flow_story, a_flow_that_goes_on_after_a_drop_was_late)
{
    // Symptom: a request that was answered late is told as dropped. Sequence: a
    // VM that just started drops its packet, and passes the caller's copy on.
    // Cause: the gravest step taken for the last one.
    std::vector<vm_log> const logs{make_log(
        "vm-1", of_flow("10.000", "flow_placed", placed) +
                    of_flow(
                        "11.000", "packet_dropped",
                        "rule=unknown_tag routes=0 registry=0") +
                    of_flow(
                        "11.400", "flow_taken_over",
                        "rule=named_by_tag upstream=i-01 at=10.0.0.1"))};
    auto const stories = ask(logs);
    cr_assert_eq(stories.size(), 1);
    auto const& told = stories.front().conclusion;
    cr_expect(told.starts_with("Late: vm-1 dropped"), "%s", told.c_str());
    cr_expect(told.find("Then it went on. Open:") != std::string::npos);
}

Test(flow_story, tells_the_flows_that_are_asked_for)
{
    auto const log = make_log(
        "vm-1",
        of_flow("12.000", "flow_placed", placed, "100.64.0.16:2000") +
            of_flow("10.000", "flow_placed", placed) +
            of_flow("13.000", "flow_placed", placed, "100.64.0.161:1037"));
    std::vector<vm_log> const logs{log};
    story_question asked{
        .address = caller_address,
        .port = std::nullopt,
        .from = std::nullopt,
        .until = std::nullopt};
    auto stories = tell_stories(logs, asked);
    cr_assert_eq(stories.size(), 2);
    cr_expect(stories.front().caller == caller);
    asked.from = log.records.front().time;
    stories = tell_stories(logs, asked);
    cr_assert_eq(stories.size(), 1);
    cr_expect(stories.front().caller == "100.64.0.16:2000");
    // All flows at an upstream.
    stories = tell_stories(
        logs, {.address = ipv4_address(0x0a014013),
               .port = std::nullopt,
               .from = std::nullopt,
               .until = std::nullopt});
    cr_expect_eq(stories.size(), 3);
    asked.address = ipv4_address(1);
    cr_expect(tell_stories(logs, asked).empty());
}
