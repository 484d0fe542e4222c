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

nlohmann::json to_json(std::vector<document_answer> const& documents)
{
    auto list = nlohmann::json::array();
    for (document_answer const& document : documents)
        list.push_back(to_json(document));
    return list;
}

nlohmann::json to_json(status_answer const& status)
{
    return {
        {"vm", to_text(status.vm)},
        {"failure_domain", status.failure_domain},
        {"state", to_text(status.state)},
        {"uptime_seconds", status.uptime_seconds},
        {"pins", status.pins},
        {"members_alive", status.members_alive},
        {"members_suspect", status.members_suspect},
        {"members_dead", status.members_dead},
        {"documents", to_json(status.documents)},
        {"documents_generation", status.documents_generation},
        {"is_reader", status.is_reader},
        {"evacuated_domains", status.evacuated_domains},
        {"packets",
         {{"to_upstream", status.packets.to_upstream},
          {"to_peer", status.packets.to_peer},
          {"dropped", status.packets.dropped},
          {"refused", status.packets.refused}}}};
}

text_table to_table(status_answer const& status)
{
    text_table table({"PROPERTY", "VALUE"});
    auto const add = [&table](std::string const& name, std::string_view value)
    {
        table.add_row({name, std::string(value)});
    };
    auto const add_number = [&add](std::string const& name, std::uint64_t value)
    {
        add(name, std::to_string(value));
    };
    add("vm", to_text(status.vm));
    add("failure_domain", status.failure_domain);
    add("state", to_text(status.state));
    add_number("uptime_seconds", status.uptime_seconds);
    add_number("pins", status.pins);
    add_number("members_alive", status.members_alive);
    add_number("members_suspect", status.members_suspect);
    add_number("members_dead", status.members_dead);
    for (std::string const& domain : status.evacuated_domains)
        add("evacuated_domain", domain);
    add("watches_platform", yes_or_no(status.is_reader));
    add_number("packets_to_upstream", status.packets.to_upstream);
    add_number("packets_to_peer", status.packets.to_peer);
    add_number("packets_dropped", status.packets.dropped);
    add_number("packets_refused", status.packets.refused);
    for (document_answer const& document : status.documents)
        add("document " + document.name, describe(document));
    return table;
}

} // namespace

exit_code show_status(operand_list)
{
    status_answer const status = make_control_client().status();
    if (is_json_wanted())
        print(to_json(status));
    else
        print(to_table(status));
    return exit_code::success;
}

} // namespace cairnhead
