#pragma once

#include <protocol/control_message.hpp>

#include <string_view>

namespace cairnhead
{

/// Reads what an upstream's health endpoint answered:
/// `{"condition":"healthy|draining|shedding","load_permille":N}`. Whatever
/// cannot be read is `failed`: an endpoint that answers nonsense says nothing
/// good of its upstream. Thread safety: no shared state.
[[nodiscard]] upstream_report read_health_answer(
    upstream_id upstream, long http_status, std::string_view body);

} // namespace cairnhead
