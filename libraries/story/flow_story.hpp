#pragma once

#include <story/log_record.hpp>

#include <base/identifiers.hpp>

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// What the logs of several VMs tell of one flow. Thread safety of everything
/// here: no shared state.
namespace cairnhead
{

/// The log of one VM.
struct vm_log
{
    /// The VM's address where the log begins with its start, or else whatever
    /// the reader of the file knows it by.
    std::string vm;
    std::vector<log_record> records;
};

/// The flows that somebody asks about.
struct story_question
{
    /// A caller's, or that of an upstream, whose flows are all meant.
    ipv4_address address;
    /// The caller's; nothing for all of its flows.
    std::optional<std::uint16_t> port;
    /// Lines of other moments are left out.
    std::optional<std::chrono::system_clock::time_point> from;
    std::optional<std::chrono::system_clock::time_point> until;
};

/// One line of a story. Valid as long as the logs.
struct story_line
{
    std::string_view vm;
    log_record const* record = nullptr;
};

/// What the logs do not tell, and why.
enum class gap_kind : std::uint8_t
{
    /// No line tells how the flow was opened.
    opening_not_told,
    /// The VM wrote the lines of some flows only.
    sampled,
    /// The VM left lines out, as there were too many or its reader was slow.
    lines_left_out,
    /// The process began anew and had forgotten its flows.
    restarted,
    /// The VM's log ends before the flow's last line.
    log_ends_early,
    /// The VM's log begins after the flow's first line.
    log_begins_late,
};

struct story_gap
{
    gap_kind kind = gap_kind::opening_not_told;
    /// Empty where no VM in particular is meant.
    std::string vm;
    /// In words, with the figures.
    std::string detail;
};

/// The story of one flow.
struct flow_story
{
    std::string caller;
    std::string route;
    /// In order of time; the flow's own lines, and what the VMs that it passed
    /// learned meanwhile of its upstreams, of failure domains and of
    /// themselves.
    std::vector<story_line> lines;
    std::vector<story_gap> gaps;
    /// What became of the flow as far as the lines tell, in a sentence.
    std::string conclusion;
};

/// The stories of the flows that are asked for, by their first line's time.
/// Valid as long as the logs. No precondition.
[[nodiscard]] std::vector<flow_story>
tell_stories(std::span<vm_log const> logs, story_question const& question);

} // namespace cairnhead
