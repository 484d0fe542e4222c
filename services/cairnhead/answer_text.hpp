#pragma once

#include <control/control_answers.hpp>

#include <string>
#include <string_view>

/// How answers are written, in tables and in JSON. Programs rely on the
/// words. Thread safety of all: no shared state.
namespace cairnhead
{

[[nodiscard]] std::string_view to_text(vm_state state);
[[nodiscard]] std::string_view to_text(member_status status);
[[nodiscard]] std::string_view to_text(flow_class traffic);
[[nodiscard]] std::string_view to_text(placement_preference preference);
[[nodiscard]] std::string_view to_text(refusal_style style);
[[nodiscard]] std::string_view to_text(upstream_condition condition);
[[nodiscard]] std::string_view to_text(explained_rule rule);
[[nodiscard]] std::string_view to_text(shown_verdict verdict);

/// `tcp:198.51.100.1:8443`.
[[nodiscard]] std::string to_text(endpoint const& address);

[[nodiscard]] std::string to_text(vm_id vm);
[[nodiscard]] std::string to_text(upstream_id upstream);

/// `yes` or `no`, for tables.
[[nodiscard]] std::string yes_or_no(bool is_so);

} // namespace cairnhead
