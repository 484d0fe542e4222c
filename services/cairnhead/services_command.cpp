#include "answer_text.hpp"
#include "command.hpp"
#include "control_query.hpp"
#include "text_table.hpp"

#include <nlohmann/json.hpp>

namespace cairnhead
{

namespace
{

nlohmann::json to_json(std::vector<service_answer> const& services)
{
    auto list = nlohmann::json::array();
    for (service_answer const& each : services)
        list.push_back(
            {{"service", each.name},
             {"address", to_text(each.address)},
             {"class", to_text(each.traffic)},
             {"prefer", to_text(each.prefer)},
             {"refusal", to_text(each.refusal)},
             {"idempotent", each.is_idempotent},
             {"upstreams", each.upstreams}});
    return list;
}

text_table to_table(std::vector<service_answer> const& services)
{
    text_table table(
        {"SERVICE", "ADDRESS", "CLASS", "PREFER", "REFUSAL", "IDEMPOTENT",
         "UPSTREAMS"});
    for (service_answer const& each : services)
        table.add_row(
            {each.name, to_text(each.address),
             std::string(to_text(each.traffic)),
             std::string(to_text(each.prefer)),
             std::string(to_text(each.refusal)), yes_or_no(each.is_idempotent),
             std::to_string(each.upstreams)});
    return table;
}

} // namespace

exit_code show_services(operand_list)
{
    auto const services = make_control_client().services();
    if (is_json_wanted())
        print(to_json(services));
    else
        print(to_table(services));
    return exit_code::success;
}

} // namespace cairnhead
