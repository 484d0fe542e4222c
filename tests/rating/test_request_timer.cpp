#include <rating/request_timer.hpp>

#include <criterion/criterion.h>

using namespace cairnhead;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};
constexpr std::uint32_t first_answer = 500;

/// A flow whose caller's packets are recorded at milliseconds after `start`.
struct timed_flow
{
    request_timer timer{flow_origin::opened_here};

    request_timer::packet_findings packet(
        int milliseconds,
        flow_progress progress,
        packet_phase phase = packet_phase::ongoing,
        duration waited = {})
    {
        return this->timer.record(
            start + std::chrono::milliseconds(milliseconds), progress, phase,
            waited);
    }

    /// Establishes the flow and sends a request at 10 ms.
    void request()
    {
        this->packet(0, {100, first_answer, false});
        auto const found = this->packet(10, {100, first_answer, true});
        cr_expect(found.begins_request);
        cr_expect(!found.ended);
    }
};

} // namespace

Test(request_timer, an_acknowledgement_gives_time_and_length)
{
    timed_flow flow;
    flow.request();
    auto const found = flow.packet(57, {150, 2'500, false});
    cr_assert(found.ended.has_value());
    ended_request const expected{answer_evidence::acknowledgement, 47ms, 2'000};
    cr_expect(*found.ended == expected);
    cr_expect_not(flow.timer.is_waiting());
}

// Symptom: an upstream is rated as slow though it answered at once.
// Sequence: a one-packet answer is acknowledged with the next request, or with
// the FIN of a flow of several requests, seconds later.
// Cause: the time until then is taken for the answer time.
Test(request_timer, a_later_packet_gives_the_length_only)
{
    timed_flow flow;
    flow.request();
    auto const next = flow.packet(3'000, {150, 1'500, true});
    cr_assert(next.ended.has_value());
    cr_expect(next.ended->evidence == answer_evidence::later_packet);
    cr_expect_eq(next.ended->answer_length, 1'000);
    cr_expect(next.begins_request);
    auto const last =
        flow.packet(6'000, {200, 2'500, false}, packet_phase::closing);
    cr_assert(last.ended.has_value());
    cr_expect(last.ended->evidence == answer_evidence::later_packet);
}

Test(request_timer, the_fin_of_an_only_request_gives_the_time)
{
    timed_flow flow;
    flow.request();
    auto const found =
        flow.packet(30, {150, 600, false}, packet_phase::closing);
    cr_assert(found.ended.has_value());
    ended_request const expected{
        answer_evidence::only_request_closed, 20ms, 100};
    cr_expect(*found.ended == expected);
}

// Guards against a request of a flow that another VM opened being taken for
// the flow's only one.
Test(request_timer, the_fin_of_a_flow_opened_elsewhere_gives_no_time)
{
    timed_flow flow{request_timer(flow_origin::opened_elsewhere)};
    flow.request();
    cr_expect_not(flow.timer.is_first_request());
    auto const found =
        flow.packet(5'000, {150, 600, false}, packet_phase::closing);
    cr_expect(found.ended->evidence == answer_evidence::later_packet);
}

// Guards against a retransmission starting the time anew, which would hide
// that the upstream has not answered.
Test(request_timer, repeated_data_begins_no_request)
{
    timed_flow flow;
    flow.request();
    auto const reordered = flow.packet(11, {100, first_answer, true});
    cr_expect_not(reordered.repeats_data);
    auto const repeated = flow.packet(210, {100, first_answer, true});
    cr_expect(repeated.repeats_data);
    cr_expect_not(repeated.begins_request);
    cr_expect(flow.packet(260, {150, 2'500, false}).ended->elapsed == 250ms);
}

// Guards against the time that a packet waited in a slow VM's socket being
// attributed to the upstream.
Test(request_timer, time_in_the_socket_does_not_count)
{
    timed_flow flow;
    flow.request();
    auto const found =
        flow.packet(100, {150, 2'500, false}, packet_phase::ongoing, 40ms);
    cr_expect(found.ended->elapsed == 50ms);
}

Test(request_timer, numbers_may_wrap_around)
{
    timed_flow flow;
    flow.packet(0, {0xffffffF0, 0xfffffff0, false});
    flow.packet(1, {0xfffffff0, 0xfffffff0, true});
    auto const found = flow.packet(5, {0x10, 0x10, true});
    cr_expect(found.begins_request);
    cr_expect_eq(found.ended->answer_length, 0x20);
}

// A caller that closes without an acknowledgement was not answered.
Test(request_timer, a_fin_without_acknowledgement_ends_nothing)
{
    timed_flow flow;
    flow.request();
    auto const found =
        flow.packet(400, {150, first_answer, false}, packet_phase::closing);
    cr_expect(!found.ended);
    cr_expect(flow.timer.is_waiting());
}
