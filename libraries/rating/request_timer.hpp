#pragma once

#include <base/time.hpp>
#include <event/event.hpp>
#include <rating/ended_request.hpp>

#include <cstdint>
#include <optional>

namespace cairnhead
{

/// Whether this VM saw the opening of a flow, and so its first request.
enum class flow_origin : std::uint8_t
{
    opened_elsewhere,
    opened_here,
};

/// Finds the requests of one flow and the times of their answers, of which a VM
/// sees only the caller's packets: new data begins a request, and an
/// acknowledgement that advances ends the wait for its answer.
/// No method has a precondition unless its comment states one; none is
/// thread-safe: only the reducer's thread calls them. `now` may not decrease
/// from call to call.
class request_timer
{
public:
    /// The least time between two short answers of a flow that are observed.
    /// `outlier_detector` needs five observations, within a weight of 2 s, of
    /// at least two flows; those of one flow never reach that weight so.
    static constexpr duration short_answer_gap = std::chrono::milliseconds(600);

    explicit request_timer(flow_origin origin = flow_origin::opened_elsewhere);

    /// What a packet shows.
    struct packet_findings
    {
        std::optional<ended_request> ended;
        /// When the request that was answered had begun.
        time_point ended_began_at;
        /// Whether it was observed as unanswered before.
        bool was_reported = false;
        /// It carries data of a request, and none that it repeats.
        bool has_new_data = false;
        /// It begins a request; otherwise it may continue one.
        bool begins_request = false;
        /// It repeats data of a request that waits for its answer.
        bool repeats_data = false;
    };

    /// Records a packet of the flow that follows its opening and that waited in
    /// the VM's socket for `waited`.
    packet_findings record(
        time_point now,
        flow_progress const& progress,
        packet_phase phase,
        duration waited);

    /// Whether the latest request has not been answered.
    [[nodiscard]] bool is_waiting() const;

    /// When the latest data of a request passed; meaningful while waiting.
    [[nodiscard]] time_point begun_at() const;

    /// Whether the latest request is the first of a flow that was opened here.
    [[nodiscard]] bool is_first_request() const;

    /// Records that the latest request was observed as unanswered, so that it
    /// is not observed again when its answer comes.
    void record_reported();

    /// Whether `record_reported` was called for the latest request.
    [[nodiscard]] bool was_reported() const;

    /// Whether a short answer may be observed now; if so, it is recorded.
    [[nodiscard]] bool take_short_answer(time_point now);

private:
    [[nodiscard]] answer_evidence
    evidence_of(packet_phase phase, bool has_new_data) const;

    time_point latest_data_at;
    time_point short_answer_at;
    /// Numbers of the latest packets.
    std::uint32_t acknowledged = 0;
    std::uint32_t sequence = 0;
    flow_origin origin;
    /// Requests so far, up to two.
    std::uint8_t requests = 0;
    bool has_packet = false;
    bool awaits_answer = false;
    bool is_reported = false;
};

} // namespace cairnhead
