#include <story/story_parts.hpp>

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <set>

/// What the logs do not tell of a flow.
namespace cairnhead
{

namespace
{

using moment = std::chrono::system_clock::time_point;

absl::string_view text(std::string_view value)
{
    return {value.data(), value.size()};
}

/// Collects the gaps of one flow.
class gap_finder
{
public:
    gap_finder(std::span<vm_log const> all, std::span<story_line const> of_flow)
        : logs(all), lines(of_flow), begin(of_flow.front().record->time),
          end(of_flow.back().record->time)
    {
        for (story_line const& line : of_flow)
            this->vms.insert(line.vm);
    }

    std::vector<story_gap> find()
    {
        this->look_for_opening();
        this->look_for_sampling();
        for (vm_log const& log : this->logs)
            this->look_at(log);
        return std::move(this->found);
    }

private:
    void add(gap_kind kind, std::string_view vm, std::string detail)
    {
        this->found.push_back({kind, std::string(vm), std::move(detail)});
    }

    void look_for_opening()
    {
        bool const is_told = std::ranges::any_of(
            this->lines,
            [](story_line const& line)
            {
                return line.record->event == "flow_placed" ||
                       line.record->event == "flow_refused" ||
                       line.record->event == "packet_dropped";
            });
        if (!is_told)
            this->add(
                gap_kind::opening_not_told, {},
                "no line tells of the opening: it came through a VM whose log "
                "is missing here, or which wrote the lines of other flows");
    }

    void look_for_sampling()
    {
        std::set<std::string_view> told;
        for (story_line const& line : this->lines)
        {
            std::string_view const share =
                line.record->value_of("logged_one_in");
            if (share.empty() || !told.insert(line.vm).second)
                continue;
            this->add(
                gap_kind::sampled, line.vm,
                absl::StrCat(
                    "wrote ordinary steps of one flow in ", text(share)));
        }
    }

    void look_at(vm_log const& log)
    {
        if (log.records.empty())
            return;
        if (log.records.front().time > this->begin)
            this->add(
                gap_kind::log_begins_late, log.vm,
                "its log begins after the flow's first line");
        if (log.records.back().time < this->end)
            this->add(
                gap_kind::log_ends_early, log.vm,
                "its log ends before the flow's last line");
        for (log_record const& record : log.records)
        {
            if (record.time >= this->begin && record.time <= this->end)
                this->look_at(log, record);
        }
    }

    void look_at(vm_log const& log, log_record const& record)
    {
        if (record.event == "lines_suppressed")
            this->add(
                gap_kind::lines_left_out, log.vm,
                absl::StrCat(
                    "left out ", text(record.value_of("count")), " lines of ",
                    text(record.value_of("kind")), " (",
                    text(record.value_of("reason")), ")"));
        if (record.event == "started" && this->vms.contains(log.vm))
            this->add(
                gap_kind::restarted, log.vm,
                "began anew, and knew nothing of earlier flows");
    }

    std::span<vm_log const> logs;
    std::span<story_line const> lines;
    moment begin;
    moment end;
    std::set<std::string_view> vms;
    std::vector<story_gap> found;
};

} // namespace

std::vector<story_gap>
find_gaps(std::span<vm_log const> logs, std::span<story_line const> lines)
{
    return gap_finder(logs, lines).find();
}

} // namespace cairnhead
