#pragma once

#include "log_files.hpp"

#include <iosfwd>
#include <nlohmann/json_fwd.hpp>
#include <span>

/// How stories of flows are written. Thread safety of all: no shared state.
namespace cairnhead
{

/// A heading, a table of lines, the gaps and the conclusion of each. No
/// precondition.
void write_stories(std::ostream& out, std::span<flow_story const> stories);

/// The same for programs. No precondition.
[[nodiscard]] nlohmann::json to_json(std::span<flow_story const> stories);

/// One line on each line that cannot be read, as far as they differ in kind;
/// others are counted. No precondition.
void write_skipped(std::ostream& out, std::span<skipped_line const> skipped);

} // namespace cairnhead
