#include "answer_text.hpp"
#include "command.hpp"
#include "control_query.hpp"
#include "explanation_text.hpp"
#include "text_table.hpp"

#include <nlohmann/json.hpp>

namespace cairnhead
{

namespace
{

nlohmann::json to_json(std::vector<upstream_answer> const& upstreams)
{
    auto list = nlohmann::json::array();
    for (upstream_answer const& each : upstreams)
        list.push_back(to_json(each));
    return list;
}

text_table to_table(std::vector<upstream_answer> const& upstreams)
{
    text_table table(
        {"UPSTREAM", "ADDRESS", "FAILURE DOMAIN", "FLOWS HERE", "CONDITION",
         "REPORTED LOAD", "EJECTED", "COLD", "VERDICT", "EVIDENCE",
         "ANSWER TIME", "SHORT ANSWERS", "WORK", "OUTLIER"});
    for (upstream_answer const& each : upstreams)
    {
        auto const& belief = each.belief;
        auto const rating = belief ? belief->rating : std::nullopt;
        table.add_row(
            {each.name, to_text(each.id), each.failure_domain,
             std::to_string(each.flows), std::string(to_text(each.condition)),
             std::to_string(each.reported_load_permille),
             yes_or_no(each.is_ejected), yes_or_no(each.is_cold),
             belief ? std::string(to_text(belief->verdict)) : "",
             belief ? describe(*belief) : "",
             rating ? format_permille(rating->relative_permille) : "",
             rating ? format_permille(rating->short_permille) : "",
             rating ? format_permille(rating->work_permille) : "",
             rating ? yes_or_no(rating->is_ejected) : ""});
    }
    return table;
}

} // namespace

exit_code show_upstreams(operand_list)
{
    auto const upstreams = make_control_client().upstreams();
    if (is_json_wanted())
        print(to_json(upstreams));
    else
        print(to_table(upstreams));
    return exit_code::success;
}

} // namespace cairnhead
