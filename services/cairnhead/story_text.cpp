#include "story_text.hpp"

#include "text_table.hpp"

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>
#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <ostream>

namespace cairnhead
{

namespace
{

/// As in the logs themselves.
std::string format_time(std::chrono::system_clock::time_point time)
{
    return absl::FormatTime(
        "%Y-%m-%dT%H:%M:%E3SZ", absl::FromChrono(time), absl::UTCTimeZone());
}

/// Keys that each of a flow's lines repeats.
bool is_shown_above(record_field const& field)
{
    return field.key == "caller" || field.key == "route";
}

std::string join_fields(log_record const& record)
{
    std::string joined;
    for (record_field const& field : record.fields)
    {
        if (is_shown_above(field))
            continue;
        absl::StrAppend(
            &joined, joined.empty() ? "" : " ", field.key, "=", field.value);
    }
    return joined;
}

std::string_view to_text(gap_kind kind)
{
    switch (kind)
    {
    case gap_kind::opening_not_told:
        return "opening_not_told";
    case gap_kind::sampled:
        return "sampled";
    case gap_kind::lines_left_out:
        return "lines_left_out";
    case gap_kind::restarted:
        return "restarted";
    case gap_kind::log_ends_early:
        return "log_ends_early";
    case gap_kind::log_begins_late:
        return "log_begins_late";
    }
    return "unknown";
}

nlohmann::json to_json(story_line const& line)
{
    auto fields = nlohmann::json::object();
    for (record_field const& field : line.record->fields)
        fields[field.key] = field.value;
    return {
        {"time", format_time(line.record->time)},
        {"vm", line.vm},
        {"level", line.record->level},
        {"event", line.record->event},
        {"fields", std::move(fields)}};
}

nlohmann::json to_json(flow_story const& story)
{
    auto lines = nlohmann::json::array();
    for (story_line const& line : story.lines)
        lines.push_back(to_json(line));
    auto gaps = nlohmann::json::array();
    for (story_gap const& gap : story.gaps)
        gaps.push_back(
            {{"kind", to_text(gap.kind)},
             {"vm", gap.vm},
             {"detail", gap.detail}});
    return {
        {"caller", story.caller},
        {"route", story.route},
        {"lines", std::move(lines)},
        {"gaps", std::move(gaps)},
        {"conclusion", story.conclusion}};
}

void write_story(std::ostream& out, flow_story const& story)
{
    out << "flow of " << story.caller << " to " << story.route << '\n';
    text_table table({"TIME", "VM", "EVENT", "WHY"});
    for (story_line const& line : story.lines)
        table.add_row(
            {format_time(line.record->time), std::string(line.vm),
             line.record->event, join_fields(*line.record)});
    table.write(out);
    for (story_gap const& gap : story.gaps)
        out << "not told: " << gap.vm << (gap.vm.empty() ? "" : " ")
            << gap.detail << '\n';
    out << "conclusion: " << story.conclusion << '\n';
}

} // namespace

void write_stories(std::ostream& out, std::span<flow_story const> stories)
{
    bool is_first = true;
    for (flow_story const& story : stories)
    {
        if (!is_first)
            out << '\n';
        is_first = false;
        write_story(out, story);
    }
}

nlohmann::json to_json(std::span<flow_story const> stories)
{
    auto list = nlohmann::json::array();
    for (flow_story const& story : stories)
        list.push_back(to_json(story));
    return list;
}

void write_skipped(std::ostream& out, std::span<skipped_line const> skipped)
{
    using place = std::pair<std::filesystem::path, log_fault>;
    std::map<place, std::vector<skipped_line>> by_kind;
    for (skipped_line const& each : skipped)
        by_kind[{each.file, each.fault.fault}].push_back(each);
    for (auto const& [at, lines] : by_kind)
    {
        skipped_line const& first = lines.front();
        out << "cairnhead: " << at.first.string() << ':' << first.line << ':'
            << first.fault.column << ": " << to_text(at.second);
        if (lines.size() > 1)
            out << " (and " << lines.size() - 1 << " more lines)";
        out << '\n';
    }
}

} // namespace cairnhead
