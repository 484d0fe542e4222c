#pragma once

#include <story/flow_story.hpp>

#include <span>
#include <string>
#include <vector>

/// Parts of `tell_stories`, apart from each other for their tests. Thread
/// safety: no shared state.
namespace cairnhead
{

/// Whether a line tells of a decision about a flow. No precondition.
[[nodiscard]] bool is_of_flow(log_record const& record);

/// What became of the flow. Precondition: the lines are in order of time, one
/// of them is the flow's own, and the others are no other flow's.
[[nodiscard]] std::string conclude(std::span<story_line const> lines);

/// What the logs do not tell of the flow. Precondition: as for `conclude`, and
/// all lines are the flow's own.
[[nodiscard]] std::vector<story_gap>
find_gaps(std::span<vm_log const> logs, std::span<story_line const> lines);

} // namespace cairnhead
