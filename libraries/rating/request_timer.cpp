#include <rating/request_timer.hpp>

#include <algorithm>
#include <utility>

namespace cairnhead
{

namespace
{

/// A caller repeats its data after 200 ms; what arrives again sooner was
/// reordered.
constexpr duration reordering_window = std::chrono::milliseconds(100);

/// Numbers wrap around, so the sign of their difference tells their order.
bool is_ahead(std::uint32_t number, std::uint32_t other)
{
    return static_cast<std::int32_t>(number - other) > 0;
}

} // namespace

request_timer::request_timer(flow_origin seen) : origin(seen)
{
}

request_timer::packet_findings request_timer::record(
    time_point now,
    flow_progress const& progress,
    packet_phase phase,
    duration waited)
{
    packet_findings found;
    bool const is_first = !std::exchange(this->has_packet, true);
    bool const is_beyond =
        this->requests == 0 || is_ahead(progress.sequence, this->sequence);
    found.has_new_data = progress.has_data && is_beyond;
    bool const is_acknowledging =
        !is_first && is_ahead(progress.acknowledged, this->acknowledged);
    if (is_acknowledging && this->awaits_answer)
    {
        found.ended = ended_request{
            .evidence = this->evidence_of(phase, found.has_new_data),
            .elapsed =
                std::max(now - waited - this->latest_data_at, duration::zero()),
            .answer_length = progress.acknowledged - this->acknowledged};
        found.ended_began_at = this->latest_data_at;
        found.was_reported = this->is_reported;
        this->awaits_answer = false;
    }
    found.repeats_data = progress.has_data && !is_beyond &&
                         this->awaits_answer &&
                         now >= this->latest_data_at + reordering_window;
    if (is_first || is_acknowledging)
        this->acknowledged = progress.acknowledged;
    if (!found.has_new_data)
        return found;
    found.begins_request = !std::exchange(this->awaits_answer, true);
    this->sequence = progress.sequence;
    this->latest_data_at = now;
    if (!found.begins_request)
        return found;
    this->is_reported = false;
    constexpr std::uint8_t most_requests = 2;
    this->requests = std::min<std::uint8_t>(this->requests + 1, most_requests);
    return found;
}

answer_evidence
request_timer::evidence_of(packet_phase phase, bool has_new_data) const
{
    if (has_new_data)
        return answer_evidence::later_packet;
    if (phase != packet_phase::closing)
        return answer_evidence::acknowledgement;
    return this->is_first_request() ? answer_evidence::only_request_closed
                                    : answer_evidence::later_packet;
}

bool request_timer::is_waiting() const
{
    return this->awaits_answer;
}

time_point request_timer::begun_at() const
{
    return this->latest_data_at;
}

bool request_timer::is_first_request() const
{
    return this->origin == flow_origin::opened_here && this->requests == 1;
}

void request_timer::record_reported()
{
    this->is_reported = true;
}

bool request_timer::was_reported() const
{
    return this->is_reported;
}

bool request_timer::take_short_answer(time_point now)
{
    bool const was_recent = this->short_answer_at != time_point() &&
                            now < this->short_answer_at + short_answer_gap;
    if (was_recent)
        return false;
    this->short_answer_at = now;
    return true;
}

} // namespace cairnhead
