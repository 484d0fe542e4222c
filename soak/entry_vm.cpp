#include <soak/entry_vm.hpp>

#include <base/ipv4.hpp>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <httplib.h>
#include <iterator>
#include <utility>

namespace cairnhead::soak
{

namespace
{

constexpr int readiness_port = 8080;
constexpr int status_ok = 200;
constexpr std::chrono::milliseconds question_period{500};
constexpr std::chrono::milliseconds patience{300};
constexpr std::uint32_t tolerated_misses = 1;
constexpr std::uint32_t first_lines_per_second = 200;

/// The number behind a name in the kernel's status of a process.
std::uint64_t read_number(std::string const& status, std::string const& name)
{
    auto const at = status.find(name);
    return at == std::string::npos
               ? 0
               : std::stoull(status.substr(at + name.size()));
}

} // namespace

entry_vm::entry_vm(entry_vm_plan chosen) : plan(std::move(chosen))
{
    this->readiness_thread = std::thread(
        [this]
        {
            this->watch_readiness();
        });
}

entry_vm::~entry_vm()
{
    {
        std::lock_guard const lock(this->mutex);
        this->is_ending = true;
    }
    this->ending.notify_all();
    this->readiness_thread.join();
}

void entry_vm::start()
{
    this->write_settings();
    this->process.reset();
    auto const settings = this->plan.folder / (this->plan.name + ".yaml");
    this->process.emplace(
        std::vector<std::string>{
            this->plan.program, "run", "--settings=" + settings.string()},
        this->plan.folder / (this->plan.name + ".log"));
}

void entry_vm::signal(int number)
{
    if (this->process)
        this->process->signal(number);
}

void entry_vm::change_settings()
{
    ++this->settings_number;
    this->write_settings();
}

bool entry_vm::has_ended()
{
    return !this->process || this->process->has_ended();
}

int entry_vm::exit_status()
{
    return this->process ? this->process->wait_for_exit() : 0;
}

bool entry_vm::is_in_rotation() const
{
    return this->misses <= tolerated_misses;
}

socket_address entry_vm::entrance() const
{
    return {parse_ipv4(this->plan.address).value(), fabric_port};
}

std::string const& entry_vm::failure_domain() const
{
    return this->plan.failure_domain;
}

std::string const& entry_vm::name() const
{
    return this->plan.name;
}

process_usage entry_vm::usage() const
{
    std::filesystem::path const folder =
        "/proc/" + std::to_string(this->process->id());
    std::ifstream file(folder / "status");
    std::string const status{std::istreambuf_iterator<char>(file), {}};
    process_usage used;
    used.resident_kilobytes = read_number(status, "VmRSS:");
    used.threads = read_number(status, "Threads:");
    std::error_code failure;
    std::filesystem::directory_iterator const open(folder / "fd", failure);
    used.descriptors =
        static_cast<std::uint64_t>(std::distance(begin(open), end(open)));
    return used;
}

void entry_vm::write_settings() const
{
    std::ofstream text(this->plan.folder / (this->plan.name + ".yaml"));
    text << "vm: {address: " << this->plan.address
         << ", failure_domain: " << this->plan.failure_domain
         << "}\nfabric: {encapsulation: tagged, listen: \""
         << this->plan.address << ":" << fabric_port
         << "\", maximum_packet_age: 2s}\nreadiness: {listen: \""
         << this->plan.address << ":" << readiness_port
         << "\", path: /-/ready}\n"
         << "platform: {protocol: metadata_store, url: \"http://"
         << this->plan.store_address << ":" << this->plan.store_port
         << "\"}\npeers:\n  port: " << peer_port
         << "\n  document_port: " << document_port
         << "\n  listen: " << this->plan.peer_address << "\n  seeds: [";
    for (std::string const& seed : this->plan.seeds)
        text << (&seed == this->plan.seeds.data() ? "\"" : ", \"") << seed
             << ":6081\"";
    text << "]\n  keys:\n    - {id: 1, secret: \"" << std::string(64, '5')
         << "\"}\nflow_key: \"" << std::string(32, '7')
         << "\"\ncontrol: {port: 6081}\nmetrics: {port: 0}\n"
         << "versions: {join_timeout: 1s, readers_per_domain: 2, "
            "reader_patience: 1200ms, watch_wait: 2s}\n"
         << "handover: {stop_grace: 6s}\n"
         << "tagging: {placement: "
         << (this->plan.placement == placement_rule::answer_times
                 ? "answer_times"
                 : "flows")
         << "}\n"
         // The one that changes.
         << "logging: {level: info, lines_per_second: "
         << first_lines_per_second + this->settings_number << "}\n";
}

void entry_vm::watch_readiness()
{
    std::unique_lock lock(this->mutex);
    while (!this->is_ending)
    {
        lock.unlock();
        bool const is_ready = this->answers_ready();
        this->misses = is_ready ? 0 : this->misses + 1;
        lock.lock();
        this->ending.wait_for(
            lock, question_period,
            [this]
            {
                return this->is_ending;
            });
    }
}

bool entry_vm::answers_ready() const
{
    httplib::Client client(this->plan.address, readiness_port);
    client.set_connection_timeout(patience);
    client.set_read_timeout(patience);
    auto const result = client.Get("/-/ready");
    return result && result->status == status_ok;
}

} // namespace cairnhead::soak
