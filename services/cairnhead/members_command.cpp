#include "answer_text.hpp"
#include "command.hpp"
#include "control_query.hpp"
#include "text_table.hpp"

#include <nlohmann/json.hpp>

namespace cairnhead
{

namespace
{

nlohmann::json to_json(std::vector<member_answer> const& members)
{
    auto list = nlohmann::json::array();
    for (member_answer const& each : members)
        list.push_back(
            {{"vm", to_text(each.vm)},
             {"failure_domain", each.failure_domain},
             {"incarnation", each.life.value()},
             {"status", to_text(each.status)}});
    return list;
}

text_table to_table(std::vector<member_answer> const& members)
{
    text_table table({"VM", "FAILURE DOMAIN", "STATUS", "INCARNATION"});
    for (member_answer const& each : members)
        table.add_row(
            {to_text(each.vm), each.failure_domain,
             std::string(to_text(each.status)),
             std::to_string(each.life.value())});
    return table;
}

} // namespace

exit_code show_members(operand_list)
{
    auto const members = make_control_client().members();
    if (is_json_wanted())
        print(to_json(members));
    else
        print(to_table(members));
    return exit_code::success;
}

} // namespace cairnhead
