#pragma once

#include <base/identifiers.hpp>
#include <base/time.hpp>
#include <event/event.hpp>
#include <registry/tag.hpp>

#include <absl/container/flat_hash_map.h>
#include <optional>
#include <vector>

namespace cairnhead
{

/// How far a flow has come, as far as the caller's packets show it.
enum class tagged_flow_state : std::uint8_t
{
    /// Its opening was sent; the caller has not confirmed an answer.
    opening,
    established,
    /// The caller sent FIN.
    closing,
};

/// A flow whose packets pass this VM.
struct tagged_flow
{
    flow_id id{};
    endpoint caller;
    endpoint destination;
    upstream_tag upstream;
    tagged_flow_state state = tagged_flow_state::opening;
    /// When this VM sent the opening last; the earliest moment there is for a
    /// flow that was opened elsewhere.
    time_point opened_at;
    time_point expires_at;
    /// How far the flow has come, as far as packets told here.
    std::optional<flow_progress> progress;
    /// When its latest packet came.
    time_point seen_at;
    /// When data came that was new.
    time_point data_at{};
    /// Whether data was not answered yet.
    bool awaits_answer = false;
};

/// The flows that pass this VM now. A flow that moves to another VM needs no
/// entry there: its packets name its upstream. The entries serve to keep the
/// copies of an opening together and to count the load of upstreams.
/// Thread safety of all methods: none; one thread, the reducer's.
class tagged_flows
{
public:
    explicit tagged_flows(std::size_t maximum_flows);

    /// The flow's entry, or nullptr; valid until the next change.
    /// No precondition.
    [[nodiscard]] tagged_flow* find(flow_id flow);
    [[nodiscard]] tagged_flow const* find(flow_id flow) const;

    /// Adds a flow, unless the table is full: then nullptr.
    /// Precondition: the flow has no entry.
    tagged_flow* insert(flow_id flow, tagged_flow const& added);

    /// Removes a flow. No precondition.
    void remove(flow_id flow);

    /// Removes all that expired, and calls `on_expired` for each. No
    /// precondition.
    template <typename Function>
    void expire(time_point now, Function const& on_expired)
    {
        absl::erase_if(
            this->flows,
            [&](auto const& entry)
            {
                bool const is_over = entry.second.expires_at <= now;
                if (is_over)
                    on_expired(entry.second);
                return is_over;
            });
    }

    /// Removes all flows of an upstream that are established, and gives them,
    /// sorted by caller. No precondition.
    [[nodiscard]] std::vector<tagged_flow>
    take_established(upstream_tag upstream);

    /// No precondition.
    [[nodiscard]] std::size_t size() const;

private:
    std::size_t maximum;
    absl::flat_hash_map<flow_id, tagged_flow> flows;
};

} // namespace cairnhead
