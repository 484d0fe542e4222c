#include "fleet.hpp"

#include "http_put.hpp"
#include "wait_until.hpp"

#include <nlohmann/json.hpp>

namespace cairnhead::thin_path
{

namespace
{

constexpr int platform_port = 8500;
constexpr int fabric_control_port = 8081;
constexpr int no_entry_vm = -1;
constexpr auto encapsulation_port = ":6080";
constexpr int first_callers_port = 6090;
constexpr int caller_group_count = 2;

std::string entry_vm_list(address_plan const& plan, int left_out = no_entry_vm)
{
    std::string list;
    for (int number = 0; number < entry_vm_count; ++number)
    {
        if (number == left_out)
            continue;
        list += (list.empty() ? "" : ",") + plan.entry_vm(number);
    }
    return list;
}

std::string callers_address(address_plan const& plan, int group)
{
    return plan.callers() + ":" + std::to_string(first_callers_port + group);
}

std::string caller_routes(address_plan const& plan)
{
    std::string routes;
    for (int group = 0; group < caller_group_count; ++group)
    {
        routes += group == 0 ? "" : ",";
        routes += "10." + std::to_string(group) + ".0.0/16@" +
                  callers_address(plan, group);
    }
    return routes;
}

std::string flag(std::string const& name, std::string const& value)
{
    return "--" + name + "=" + value;
}

} // namespace

fleet::fleet(int test_number) : plan(test_number)
{
    write_documents(this->folder.path(), this->plan);
    this->start_platform();
    this->start_fabric();
    for (int number = 0; number < upstream_count; ++number)
        this->start_upstream(number);
    for (child_process& started : this->stand_ins)
        started.wait_for_output("ready");
    for (int number = 0; number < entry_vm_count; ++number)
        this->start_entry_vm(number);
    for (int number = 0; number < entry_vm_count; ++number)
        this->wait_until_serving(number);
}

child_process fleet::start_callers(workload const& offered, int group) const
{
    return this->start(
        {CAIRNHEAD_STANDINS, "callers",
         flag("address", callers_address(this->plan, group)),
         flag("source", "10." + std::to_string(group) + ".0.1"),
         flag("fabric", this->plan.fabric() + ":6082"),
         flag("service", std::string(service_address)),
         flag("flows", std::to_string(offered.flows)),
         flag("concurrency", std::to_string(offered.concurrency)),
         flag("requests", std::to_string(offered.requests)),
         flag(
             "request_gap_ms",
             std::to_string(offered.request_gap_milliseconds)),
         "--progress"},
        "callers");
}

void fleet::wait_until_open(child_process& callers, workload const& offered)
{
    callers.wait_for_output("opened=" + std::to_string(offered.flows));
}

child_process& fleet::entry_vm(int number)
{
    return this->entry_vms.at(static_cast<std::size_t>(number));
}

void fleet::put_to_platform(
    std::string const& path, std::string const& body) const
{
    http_put(this->plan.platform(), platform_port, path, body);
}

void fleet::withdraw_from_fabric(int entry_vm_number) const
{
    http_put(
        this->plan.fabric(), fabric_control_port, "/vms",
        entry_vm_list(this->plan, entry_vm_number));
}

void fleet::wait_for_log(int number, std::string const& text)
{
    this->entry_vm(number).wait_for_output(text);
}

void fleet::wait_for_document(
    int entry_vm_number, std::string const& name, int version) const
{
    wait_until(
        "document " + name + " arrives",
        [&]
        {
            auto const status = nlohmann::json::parse(
                this->ask("status", entry_vm_number), nullptr, false);
            if (!status.is_object())
                return false;
            for (auto const& document : status["documents"])
            {
                if (document["name"] == name)
                    return document["version"].get<int>() >= version;
            }
            return false;
        });
}

void fleet::publish(declared_change const& change, int version)
{
    this->put_to_platform(
        "/control/documents/organisations/association",
        organisation_text(this->plan, change));
    for (int number = 0; number < entry_vm_count; ++number)
        this->wait_for_document(number, "organisations/association", version);
}

child_process fleet::start_client(
    std::vector<std::string> const& arguments, int entry_vm_number) const
{
    std::vector<std::string> command{CAIRNHEAD_PROGRAM};
    command.insert(command.end(), arguments.begin(), arguments.end());
    command.push_back(
        flag("at", this->plan.entry_vm(entry_vm_number) + ":6084"));
    return this->start(std::move(command), "client");
}

std::string fleet::ask(std::string const& command, int entry_vm_number) const
{
    child_process client =
        this->start_client({command, "--json"}, entry_vm_number);
    return client.wait_for_exit() == 0 ? client.output() : std::string();
}

address_plan const& fleet::addresses() const
{
    return this->plan;
}

void fleet::start_platform()
{
    this->stand_ins.push_back(this->start(
        {CAIRNHEAD_STANDINS, "platform",
         flag("listen", this->plan.platform() + ":8500"),
         flag("documents", this->folder.path().string()),
         flag("vms", entry_vm_list(this->plan))},
        "platform"));
}

void fleet::start_fabric()
{
    this->stand_ins.push_back(this->start(
        {CAIRNHEAD_STANDINS, "fabric",
         flag("listen", this->plan.fabric() + ":6082"),
         flag("control", this->plan.fabric() + ":8081"),
         flag("vms", entry_vm_list(this->plan)),
         flag("callers", caller_routes(this->plan))},
        "fabric"));
}

void fleet::start_upstream(int number)
{
    auto const name = "listings-" + std::to_string(number);
    auto const address = this->plan.upstream(number);
    this->stand_ins.push_back(this->start(
        {CAIRNHEAD_STANDINS, "upstream",
         flag("address", address + encapsulation_port),
         flag("fabric", this->plan.fabric() + ":6082"),
         flag("service", std::string(service_address)),
         flag("health", address + ":8080"), flag("name", name)},
        name));
}

void fleet::start_entry_vm(int number)
{
    auto const settings =
        write_settings(this->folder.path(), this->plan, number);
    this->entry_vms.push_back(this->start(
        {CAIRNHEAD_PROGRAM, "run", flag("settings", settings.string())},
        "vm-" + std::to_string(number)));
}

void fleet::wait_until_serving(int number) const
{
    wait_until(
        "entry VM serves and knows all others",
        [&]
        {
            auto const status = nlohmann::json::parse(
                this->ask("status", number), nullptr, false);
            if (!status.is_object() || status.value("state", "") != "serving")
                return false;
            auto const members = nlohmann::json::parse(
                this->ask("members", number), nullptr, false);
            return members.is_array() && members.size() == entry_vm_count;
        });
}

child_process
fleet::start(std::vector<std::string> command, std::string const& name) const
{
    static int started = 0;
    auto const file = name + "-" + std::to_string(started++) + ".log";
    return child_process(std::move(command), this->folder.path() / file);
}

} // namespace cairnhead::thin_path
