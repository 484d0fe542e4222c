#include "answer_text.hpp"
#include "command.hpp"
#include "control_query.hpp"
#include "explanation_text.hpp"
#include "flags.hpp"
#include "flow_text.hpp"
#include "log_files.hpp"
#include "story_text.hpp"
#include "text_table.hpp"
#include "usage_error.hpp"

#include <absl/flags/flag.h>
#include <absl/time/time.h>
#include <iostream>
#include <nlohmann/json.hpp>

namespace cairnhead
{

namespace
{

using optional_moment = std::optional<std::chrono::system_clock::time_point>;

optional_moment parse_moment(std::string const& text)
{
    if (text.empty())
        return std::nullopt;
    absl::Time time;
    std::string error;
    if (!absl::ParseTime(absl::RFC3339_full, text, &time, &error))
        throw usage_error(usage_error_kind::bad_flag_value, text);
    return absl::ToChronoTime(time);
}

story_question parse_question(std::string_view text)
{
    flow_end const asked = parse_flow_end(text);
    return {
        .address = asked.address,
        .port = asked.port,
        .from = parse_moment(absl::GetFlag(FLAGS_from)),
        .until = parse_moment(absl::GetFlag(FLAGS_until))};
}

exit_code
explain_by_logs(std::vector<std::string> const& names, std::string_view asked)
{
    story_question const question = parse_question(asked);
    read_logs const read = read_log_files(names);
    write_skipped(std::cerr, read.skipped);
    auto const stories = tell_stories(read.logs, question);
    if (is_json_wanted())
        print(to_json(stories));
    else
        write_stories(std::cout, stories);
    if (!stories.empty())
        return exit_code::success;
    std::cerr << "cairnhead: no line of " << read.logs.size()
              << " VMs' logs tells of a flow of " << asked << '\n';
    return exit_code::rejected;
}

exit_code explain_by_daemon(std::string_view asked)
{
    flow_endpoints const flow = parse_flow(asked);
    explain_answer const answer =
        make_control_client().explain({flow.source, flow.destination});
    if (is_json_wanted())
        print(to_json(answer));
    else
        write_explanation(std::cout, answer);
    return exit_code::success;
}

} // namespace

exit_code explain_flow(operand_list operands)
{
    auto const logs = absl::GetFlag(FLAGS_log);
    return logs.empty() ? explain_by_daemon(operands.front())
                        : explain_by_logs(logs, operands.front());
}

} // namespace cairnhead
