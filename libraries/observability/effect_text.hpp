#pragma once

#include <event/effect.hpp>

#include <cstddef>
#include <string_view>

/// The names of the reducer's enumerations, as they stand in log lines and in
/// the labels of metrics. They are an interface to operators: a changed name
/// breaks their queries.
namespace cairnhead
{

/// Empty for a value that is not declared. Thread safety: no shared state.
[[nodiscard]] constexpr std::string_view to_text(drop_reason reason)
{
    switch (reason)
    {
    case drop_reason::unknown_destination:
        return "unknown_destination";
    case drop_reason::unknown_flow:
        return "unknown_flow";
    case drop_reason::no_upstream:
        return "no_upstream";
    case drop_reason::not_ready:
        return "not_ready";
    case drop_reason::view_expired:
        return "view_expired";
    case drop_reason::visited_too_many:
        return "visited_too_many";
    case drop_reason::table_full:
        return "table_full";
    case drop_reason::service_mismatch:
        return "service_mismatch";
    case drop_reason::refused_silently:
        return "refused_silently";
    case drop_reason::owner_unreachable:
        return "owner_unreachable";
    case drop_reason::upstream_unreachable:
        return "upstream_unreachable";
    }
    return {};
}

/// Empty for a value that is not declared. Thread safety: no shared state.
[[nodiscard]] constexpr std::string_view to_text(refusal_reason reason)
{
    switch (reason)
    {
    case refusal_reason::organisation_limit:
        return "organisation_limit";
    case refusal_reason::service_limit:
        return "service_limit";
    case refusal_reason::flow_limit:
        return "flow_limit";
    case refusal_reason::table_full:
        return "table_full";
    case refusal_reason::no_healthy_upstream:
        return "no_healthy_upstream";
    case refusal_reason::upstreams_full:
        return "upstreams_full";
    case refusal_reason::leaving:
        return "leaving";
    }
    return {};
}

/// Empty for a value that is not declared. Thread safety: no shared state.
[[nodiscard]] constexpr std::string_view to_text(frame_role role)
{
    switch (role)
    {
    case frame_role::to_owner:
        return "to_owner";
    case frame_role::store_backup:
        return "store_backup";
    case frame_role::second_chance:
        return "second_chance";
    case frame_role::adopt:
        return "adopt";
    case frame_role::exhausted:
        return "exhausted";
    }
    return {};
}

/// Empty for a value that is not declared. Thread safety: no shared state.
[[nodiscard]] constexpr std::string_view to_text(flow_class traffic)
{
    switch (traffic)
    {
    case flow_class::feed:
        return "feed";
    case flow_class::form:
        return "form";
    case flow_class::media:
        return "media";
    case flow_class::upload:
        return "upload";
    }
    return {};
}

/// Empty for a value that is not declared. Thread safety: no shared state.
[[nodiscard]] constexpr std::string_view to_text(report_kind kind)
{
    switch (kind)
    {
    case report_kind::member_joined:
        return "member_joined";
    case report_kind::members_listed:
        return "members_listed";
    case report_kind::member_suspected:
        return "member_suspected";
    case report_kind::member_died:
        return "member_died";
    case report_kind::member_left:
        return "member_left";
    case report_kind::view_expired:
        return "view_expired";
    case report_kind::view_refreshed:
        return "view_refreshed";
    case report_kind::ready:
        return "ready";
    case report_kind::started_alone:
        return "started_alone";
    case report_kind::document_in_force:
        return "document_in_force";
    case report_kind::document_rejected:
        return "document_rejected";
    case report_kind::platform_unreachable:
        return "platform_unreachable";
    case report_kind::platform_reachable:
        return "platform_reachable";
    case report_kind::platform_stale:
        return "platform_stale";
    case report_kind::upstream_ejected:
        return "upstream_ejected";
    case report_kind::upstream_restored:
        return "upstream_restored";
    case report_kind::domain_unreachable:
        return "domain_unreachable";
    case report_kind::domain_reachable:
        return "domain_reachable";
    case report_kind::upstream_unreachable:
        return "upstream_unreachable";
    case report_kind::upstream_reachable:
        return "upstream_reachable";
    case report_kind::leave_awaits_turn:
        return "leave_awaits_turn";
    case report_kind::leave_started:
        return "leave_started";
    case report_kind::leave_finished:
        return "leave_finished";
    case report_kind::pin_conflict:
        return "pin_conflict";
    case report_kind::upstream_avoided:
        return "upstream_avoided";
    case report_kind::reading_started:
        return "reading_started";
    case report_kind::reading_stopped:
        return "reading_stopped";
    case report_kind::domain_silent:
        return "domain_silent";
    case report_kind::domain_heard:
        return "domain_heard";
    case report_kind::upstream_outlier_ejected:
        return "upstream_outlier_ejected";
    case report_kind::upstream_outlier_restored:
        return "upstream_outlier_restored";
    case report_kind::spill_started:
        return "spill_started";
    case report_kind::spill_stopped:
        return "spill_stopped";
    }
    return {};
}

/// As the event of a log line. Empty for a value that is not declared. Thread
/// safety: no shared state.
[[nodiscard]] constexpr std::string_view to_text(flow_step step)
{
    switch (step)
    {
    case flow_step::placed:
        return "flow_placed";
    case flow_step::reoffered:
        return "flow_reoffered";
    case flow_step::confirmed:
        return "flow_confirmed";
    case flow_step::taken_over:
        return "flow_taken_over";
    case flow_step::repeated:
        return "flow_repeated";
    case flow_step::abandoned:
        return "flow_abandoned";
    case flow_step::refused:
        return "flow_refused";
    case flow_step::reset:
        return "flow_reset";
    case flow_step::tag_corrected:
        return "flow_tag_corrected";
    case flow_step::dropped:
        return "packet_dropped";
    }
    return {};
}

/// Empty for a value that is not declared. Thread safety: no shared state.
[[nodiscard]] constexpr std::string_view to_text(flow_rule rule)
{
    switch (rule)
    {
    case flow_rule::least_loaded:
        return "least_loaded";
    case flow_rule::only_avoided_left:
        return "only_avoided_left";
    case flow_rule::only_evacuated_left:
        return "only_evacuated_left";
    case flow_rule::only_cold_left:
        return "only_cold_left";
    case flow_rule::only_missing_left:
        return "only_missing_left";
    case flow_rule::opening_unanswered:
        return "opening_unanswered";
    case flow_rule::upstream_left:
        return "upstream_left";
    case flow_rule::named_by_tag:
        return "named_by_tag";
    case flow_rule::named_by_peer:
        return "named_by_peer";
    case flow_rule::named_by_provisional_tag:
        return "named_by_provisional_tag";
    case flow_rule::named_by_superseded_tag:
        return "named_by_superseded_tag";
    case flow_rule::no_upstream:
        return "no_upstream";
    case flow_rule::no_route:
        return "no_route";
    case flow_rule::data_in_opening:
        return "data_in_opening";
    case flow_rule::unknown_tag:
        return "unknown_tag";
    case flow_rule::found_unreachable:
        return "found_unreachable";
    case flow_rule::address_taken_over:
        return "address_taken_over";
    case flow_rule::data_unanswered:
        return "data_unanswered";
    case flow_rule::held_by_pause:
        return "held_by_pause";
    case flow_rule::queue_too_long:
        return "queue_too_long";
    case flow_rule::registry_incomplete:
        return "registry_incomplete";
    case flow_rule::quicker_of_two:
        return "quicker_of_two";
    case flow_rule::least_loaded_by_speed:
        return "least_loaded_by_speed";
    case flow_rule::only_ejected_left:
        return "only_ejected_left";
    case flow_rule::spilled:
        return "spilled";
    case flow_rule::less_urgent:
        return "less_urgent";
    }
    return {};
}

/// How many values an enumeration declares, counted by its names: a value
/// that is added without a name is a compiler warning, and one that is named
/// widens every table of counters by itself.
template <typename Enumeration>
[[nodiscard]] consteval std::size_t count_of_values()
{
    std::size_t count = 0;
    while (!to_text(static_cast<Enumeration>(count)).empty())
        ++count;
    return count;
}

} // namespace cairnhead
