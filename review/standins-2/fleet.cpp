#include "fleet.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <memory>
#include <netinet/in.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review
{

namespace
{

constexpr std::uint16_t ready_port = 8167;
constexpr std::uint16_t datagram_port = 8172;
constexpr std::uint16_t control_port = 8166;
constexpr std::uint16_t store_port = 8169;
constexpr auto probe_period = 500ms;
constexpr auto probe_timeout = 400ms;
/// The platform starts a process that ended again after this.
constexpr auto restart_delay = 500ms;

void replace_all(
    std::string& text, std::string const& from, std::string const& to)
{
    for (auto at = text.find(from); at != std::string::npos;
         at = text.find(from, at + to.size()))
        text.replace(at, from.size(), to);
}

/// Replaces `{{#NAME}}…{{/NAME}}`.
void replace_section(
    std::string& text, std::string const& name, std::string const& by)
{
    std::string const begin = "{{#" + name + "}}";
    std::string const end = "{{/" + name + "}}";
    auto const from = text.find(begin);
    auto const to = text.find(end);
    if (from != std::string::npos && to != std::string::npos)
        text.replace(from, to + end.size() - from, by);
}

std::uint64_t mix(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15U;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31);
}

} // namespace

/// One question of the prober, until it is answered or late.
struct fleet::probe
{
    int descriptor = -1;
    bool is_over = false;
};

fleet::fleet(loop& on, record& into, options wanted)
    : events(on), seen(into), chosen(std::move(wanted))
{
    this->probe_all();
}

fleet::~fleet()
{
    for (machine const& one : this->machines)
    {
        if (one.process <= 0)
            continue;
        ::kill(one.process, SIGKILL);
        ::waitpid(one.process, nullptr, 0);
    }
}

void fleet::add(machine const& one)
{
    this->machines.push_back(one);
}

machine& fleet::get(std::string const& name)
{
    return *std::ranges::find(this->machines, name, &machine::name);
}

machine const& fleet::find(std::string const& name) const
{
    return *std::ranges::find(this->machines, name, &machine::name);
}

std::vector<machine> const& fleet::all() const
{
    return this->machines;
}

bool fleet::are_all_in_rotation() const
{
    return std::ranges::all_of(this->machines, &machine::is_in_rotation);
}

bool fleet::have_all_started(time_point after) const
{
    return std::ranges::all_of(
        this->machines,
        [after](machine const& one)
        {
            return one.started_at > after;
        });
}

std::string fleet::write_settings(machine const& one) const
{
    std::ifstream in(this->chosen.settings_template);
    std::stringstream read;
    read << in.rdbuf();
    std::string text = read.str();
    std::string seeds;
    for (std::uint32_t const seed : this->chosen.seeds)
        seeds += (seeds.empty() ? "\"" : ",\"") + to_text(seed) + ":" +
                 std::to_string(control_port) + "\"";
    std::string const address = to_text(one.address);
    auto const at = [&address](std::uint16_t port)
    {
        return address + ":" + std::to_string(port);
    };
    replace_section(text, "seeds", seeds);
    replace_section(text, "bounds.coldOverrun", "");
    replace_section(text, "bounds.coldSlack", "");
    replace_all(text, "{{nodeName}}", one.name);
    replace_all(text, "{{ip}}", address);
    replace_all(text, "{{zone}}", one.zone);
    replace_all(text, "{{listen.datagramAddr}}", at(datagram_port));
    replace_all(text, "{{listen.readyAddr}}", at(ready_port));
    replace_all(
        text, "{{platform.address}}",
        to_text(one.store_address) + ":" + std::to_string(store_port));
    replace_all(text, "{{internalPorts.0}}", "7720");
    replace_all(text, "{{internalPorts.1}}", "7735");
    replace_all(text, "{{bounds.graceS}}", "6");
    if (text.empty() || text.find("{{") != std::string::npos)
        give_up("the template of the settings has names that are not known");
    std::string path = this->chosen.folder + "/" + one.name + ".yaml";
    std::ofstream(path) << text;
    return path;
}

void fleet::start(std::string const& name)
{
    machine& one = this->get(name);
    std::string const settings = "--settings=" + this->write_settings(one);
    std::string const log = this->chosen.folder + "/" + name + ".log";
    pid_t const parent = ::getpid();
    pid_t const child = ::fork();
    if (child < 0)
        give_up("cannot start a process");
    if (child == 0)
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            ::_exit(2);
        int const out =
            ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::execl(
            this->chosen.binary.c_str(), this->chosen.binary.c_str(), "run",
            settings.c_str(), nullptr);
        ::_exit(2);
    }
    one.process = child;
    one.started_at = clock::now();
    one.is_meant_to_run = true;
    this->seen.write("machine " + name + " starts");
}

void fleet::start_all()
{
    for (machine const& one : this->machines)
        this->start(one.name);
}

void fleet::kill(std::string const& name, int signal)
{
    machine& one = this->get(name);
    this->seen.write(
        "machine " + name + " gets signal " + std::to_string(signal));
    if (signal == SIGKILL)
        one.is_meant_to_run = false;
    ::kill(one.process, signal);
    if (signal != SIGKILL)
        return;
    ::waitpid(one.process, nullptr, 0);
    one.process = -1;
}

void fleet::reap()
{
    for (machine& one : this->machines)
    {
        if (one.process <= 0 ||
            ::waitpid(one.process, nullptr, WNOHANG) != one.process)
            continue;
        one.process = -1;
        this->seen.write("machine " + one.name + " ended");
        if (!one.is_meant_to_run)
            continue;
        this->events.after(
            restart_delay,
            [this, name = one.name]
            {
                this->start(name);
            });
    }
}

void fleet::probe_all()
{
    this->reap();
    for (machine const& one : this->machines)
        this->start_probe(one.name);
    this->events.after(
        probe_period,
        [this]
        {
            this->probe_all();
        });
}

void fleet::start_probe(std::string const& name)
{
    auto const asked = std::make_shared<probe>();
    asked->descriptor =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in place{};
    place.sin_family = AF_INET;
    place.sin_addr.s_addr = htonl(this->find(name).address);
    place.sin_port = htons(ready_port);
    // Its outcome shows when the socket can be written to.
    static_cast<void>(::connect(
        asked->descriptor, reinterpret_cast<sockaddr const*>(&place),
        sizeof(place)));
    auto const finish = [this, asked, name](bool is_ready)
    {
        if (std::exchange(asked->is_over, true))
            return;
        this->events.unwatch(asked->descriptor);
        ::close(asked->descriptor);
        this->end_probe(name, is_ready);
    };
    auto const read = [asked, finish]
    {
        char buffer[512];
        auto const count = ::recv(asked->descriptor, buffer, sizeof(buffer), 0);
        std::string const text(
            buffer, count > 0 ? static_cast<std::size_t>(count) : 0);
        finish(text.starts_with("HTTP/1.1 200"));
    };
    this->events.watch_connect(
        asked->descriptor,
        [this, asked, finish, read]
        {
            std::string const question =
                "GET /-/ready HTTP/1.1\r\nHost: machine\r\n\r\n";
            if (::send(
                    asked->descriptor, question.data(), question.size(),
                    MSG_NOSIGNAL) < 0)
                return finish(false);
            this->events.watch(asked->descriptor, read);
        });
    this->events.after(
        probe_timeout,
        [finish]
        {
            finish(false);
        });
}

void fleet::end_probe(std::string const& name, bool is_ready)
{
    machine& one = this->get(name);
    one.misses = is_ready ? 0 : one.misses + 1;
    bool const was_in_rotation = one.is_in_rotation;
    if (is_ready)
        one.is_in_rotation = true;
    else if (one.misses >= 2)
        one.is_in_rotation = false;
    if (was_in_rotation != one.is_in_rotation)
        this->seen.write(
            "machine " + name +
            (one.is_in_rotation ? " in rotation" : " out of rotation"));
}

machine const* fleet::route(std::string const& zone, packet const& sent) const
{
    std::vector<machine const*> of_zone;
    std::vector<machine const*> used;
    std::vector<machine const*> used_elsewhere;
    for (machine const& one : this->machines)
    {
        if (one.zone == zone)
            of_zone.push_back(&one);
        if (one.is_in_rotation)
            (one.zone == zone ? used : used_elsewhere).push_back(&one);
    }
    // The last of a zone sends its callers elsewhere; with less than half, all
    // of the zone's are used.
    if (used.empty() && !used_elsewhere.empty())
        used = used_elsewhere;
    else if (used.size() * 2 < of_zone.size())
        used = of_zone;
    std::uint64_t const flow = mix(
        mix(sent.source) ^
        mix((std::uint64_t{sent.source_port} << 16) | sent.destination_port) ^
        mix(std::uint64_t{sent.destination} << 20));
    machine const* best = nullptr;
    std::uint64_t highest = 0;
    for (machine const* const one : used)
    {
        std::uint64_t const rank = mix(flow ^ mix(one->address));
        if (best != nullptr && rank <= highest)
            continue;
        best = one;
        highest = rank;
    }
    return best;
}

} // namespace review
