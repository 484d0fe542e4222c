#include "answer_text.hpp"
#include "command.hpp"
#include "control_query.hpp"
#include "flow_text.hpp"
#include "text_table.hpp"

#include <nlohmann/json.hpp>

namespace cairnhead
{

namespace
{

constexpr std::string_view absent = "none";

template <typename Id>
std::string text_or_none(std::optional<Id> const& id)
{
    return id.has_value() ? to_text(*id) : std::string(absent);
}

template <typename Id>
nlohmann::json text_or_null(std::optional<Id> const& id)
{
    return id.has_value() ? nlohmann::json(to_text(*id)) : nlohmann::json();
}

nlohmann::json to_json(explain_answer const& answer)
{
    return {
        {"service", answer.service},
        {"rule", to_text(answer.rule)},
        {"owner", text_or_null(answer.owner)},
        {"backup", text_or_null(answer.backup)},
        {"pinned_upstream", text_or_null(answer.pinned)},
        {"predicted_upstream", text_or_null(answer.predicted)},
        {"documents_generation", answer.documents_generation}};
}

text_table to_table(explain_answer const& answer)
{
    text_table table({"PROPERTY", "VALUE"});
    table.add_row({"service", answer.service});
    table.add_row({"rule", std::string(to_text(answer.rule))});
    table.add_row({"owner", text_or_none(answer.owner)});
    table.add_row({"backup", text_or_none(answer.backup)});
    table.add_row({"pinned_upstream", text_or_none(answer.pinned)});
    table.add_row({"predicted_upstream", text_or_none(answer.predicted)});
    table.add_row(
        {"documents_generation", std::to_string(answer.documents_generation)});
    return table;
}

} // namespace

exit_code explain_flow(operand_list operands)
{
    flow_endpoints const flow = parse_flow(operands.front());
    explain_answer const answer =
        make_control_client().explain({flow.source, flow.destination});
    if (is_json_wanted())
        print(to_json(answer));
    else
        print(to_table(answer));
    return exit_code::success;
}

} // namespace cairnhead
