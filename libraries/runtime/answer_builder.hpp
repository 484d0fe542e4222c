#pragma once

#include <control/control_answers.hpp>
#include <runtime/daemon_view.hpp>
#include <settings/settings.hpp>

#include <vector>

/// Turns what the reducer knows into what operators are told. Each view is
/// immutable, so all of these may run on any thread.
namespace cairnhead
{

/// No precondition; `uptime_seconds` is left at zero.
[[nodiscard]] status_answer
make_status(daemon_settings const& settings, daemon_view const& view);

/// No precondition.
[[nodiscard]] std::vector<member_answer>
make_members(daemon_settings const& settings, daemon_view const& view);

/// No precondition.
[[nodiscard]] std::vector<service_answer>
make_services(daemon_view const& view);

/// No precondition.
[[nodiscard]] std::vector<upstream_answer>
make_upstreams(daemon_settings const& settings, daemon_view const& view);

/// No precondition.
[[nodiscard]] explain_answer make_explanation(flow_explanation const& found);

} // namespace cairnhead
