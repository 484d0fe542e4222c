/// Measures how many callers' packets a second running daemons move: plays
/// the fabric and the upstreams, opens flows, then sends their packets at a
/// rate and counts what arrives. Prints one line.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_split.h>
#include <atomic>
#include <base/ipv4.hpp>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <memory>
#include <packet/tcp.hpp>
#include <poll.h>
#include <random>
#include <runtime/clocks.hpp>
#include <runtime/receive_batch.hpp>
#include <runtime/send_batch.hpp>
#include <runtime/udp_socket.hpp>
#include <thread>
#include <unistd.h>

ABSL_FLAG(std::vector<std::string>, vms, {}, "addresses of the entry VMs");
ABSL_FLAG(std::vector<std::string>, pids, {}, "processes of the entry VMs");
ABSL_FLAG(std::vector<std::string>, upstreams, {}, "addresses to listen at");
ABSL_FLAG(std::string, fabric, "", "address to send from");
ABSL_FLAG(std::string, service, "198.51.100.1", "address of the service");
ABSL_FLAG(std::uint16_t, service_port, 8443, "its port");
ABSL_FLAG(std::uint32_t, flows, 10'000, "flows to open");
ABSL_FLAG(std::uint32_t, openings, 5'000, "openings a second");
ABSL_FLAG(std::uint32_t, rate, 50'000, "packets a second");
ABSL_FLAG(std::uint32_t, seconds, 5, "how long");
ABSL_FLAG(std::uint32_t, payload, 200, "bytes in each packet");

namespace
{

using namespace cairnhead;

constexpr std::uint16_t encapsulation_port = 6080;
constexpr std::uint16_t fabric_port = 6090;
constexpr std::uint32_t first_caller = 0x0a000001;
constexpr std::uint32_t ports_of_caller = 50'000;
constexpr std::uint16_t first_port = 10'000;

std::vector<socket_address> read_addresses(std::vector<std::string> const& from)
{
    std::vector<socket_address> addresses;
    for (std::string const& text : from)
        addresses.push_back({parse_ipv4(text).value(), encapsulation_port});
    return addresses;
}

/// A GUE datagram with a TCP segment of the numbered flow.
std::vector<std::uint8_t> make_datagram(
    std::uint32_t flow, std::uint8_t flags, std::span<std::uint8_t const> data)
{
    packet_view reversed;
    reversed.source = {
        parse_ipv4(absl::GetFlag(FLAGS_service)).value(),
        absl::GetFlag(FLAGS_service_port), transport_protocol::tcp};
    reversed.destination = {
        ipv4_address(first_caller + flow / ports_of_caller),
        static_cast<std::uint16_t>(first_port + flow % ports_of_caller),
        transport_protocol::tcp};
    tcp_answer segment;
    segment.sequence = 1;
    segment.flags = flags;
    segment.payload = data;
    auto const packet = write_tcp_answer(reversed, segment);
    std::vector<std::uint8_t> datagram(gue_header_size);
    write_gue_header(datagram);
    datagram.insert(datagram.end(), packet.begin(), packet.end());
    return datagram;
}

/// Counts what arrives at an upstream's address, in a thread of its own.
class counting_upstream
{
public:
    explicit counting_upstream(socket_address address)
        : socket(address), worker(
                               [this]
                               {
                                   this->run();
                               })
    {
    }

    ~counting_upstream()
    {
        this->is_ending = true;
        this->worker.join();
    }

    [[nodiscard]] std::uint64_t count() const
    {
        return this->arrived;
    }

private:
    void run()
    {
        receive_batch batch;
        while (!this->is_ending)
        {
            pollfd waited{this->socket.descriptor(), POLLIN, 0};
            constexpr int poll_milliseconds = 50;
            ::poll(&waited, 1, poll_milliseconds);
            this->arrived += batch.receive(this->socket.descriptor()).size();
        }
    }

    udp_socket socket;
    std::atomic<std::uint64_t> arrived = 0;
    std::atomic<bool> is_ending = false;
    std::thread worker;
};

/// Sends datagrams to random entry VMs at a rate.
class spraying_fabric
{
public:
    spraying_fabric()
        : socket(
              {parse_ipv4(absl::GetFlag(FLAGS_fabric)).value(), fabric_port}),
          vms(read_addresses(absl::GetFlag(FLAGS_vms)))
    {
    }

    void send(
        std::span<std::vector<std::uint8_t> const> datagrams,
        std::uint64_t total,
        std::uint32_t rate)
    {
        auto const start = monotonic_now();
        for (std::uint64_t sent = 0; sent < total; ++sent)
        {
            this->wait_for_turn(start, sent, rate);
            this->add(datagrams[sent % datagrams.size()]);
        }
        this->batch.flush(this->socket.descriptor());
    }

private:
    void wait_for_turn(time_point start, std::uint64_t sent, std::uint32_t rate)
    {
        if (sent % burst != 0)
            return;
        this->batch.flush(this->socket.descriptor());
        auto const due =
            start + std::chrono::nanoseconds(sent * 1'000'000'000ULL / rate);
        while (monotonic_now() < due)
            std::this_thread::yield();
    }

    void add(std::span<std::uint8_t const> datagram)
    {
        this->batch.add(
            this->vms[this->random() % this->vms.size()], datagram, {});
    }

    static constexpr std::uint64_t burst = 32;
    udp_socket socket;
    std::vector<socket_address> vms;
    send_batch batch;
    std::mt19937 random;
};

/// Processor time of a process so far, in seconds.
double processor_seconds(std::string const& process)
{
    std::ifstream file("/proc/" + process + "/stat");
    std::vector<std::string> const fields = absl::StrSplit(
        std::string(std::istreambuf_iterator<char>(file), {}), ' ');
    constexpr std::size_t user_field = 13;
    constexpr std::size_t system_field = 14;
    double const ticks =
        std::stod(fields.at(user_field)) + std::stod(fields.at(system_field));
    return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double processor_seconds()
{
    double sum = 0;
    for (std::string const& process : absl::GetFlag(FLAGS_pids))
        sum += processor_seconds(process);
    return sum;
}

std::uint64_t
count_all(std::span<std::unique_ptr<counting_upstream> const> upstreams)
{
    std::uint64_t sum = 0;
    for (auto const& each : upstreams)
        sum += each->count();
    return sum;
}

std::vector<std::vector<std::uint8_t>>
make_datagrams(std::uint8_t flags, std::span<std::uint8_t const> payload)
{
    std::vector<std::vector<std::uint8_t>> datagrams;
    std::uint32_t const flows = absl::GetFlag(FLAGS_flows);
    datagrams.reserve(flows);
    for (std::uint32_t flow = 0; flow < flows; ++flow)
        datagrams.push_back(make_datagram(flow, flags, payload));
    return datagrams;
}

void measure()
{
    std::vector<std::unique_ptr<counting_upstream>> upstreams;
    for (auto const address : read_addresses(absl::GetFlag(FLAGS_upstreams)))
        upstreams.push_back(std::make_unique<counting_upstream>(address));
    spraying_fabric fabric;
    constexpr auto settling_time = std::chrono::milliseconds(500);

    auto const openings = make_datagrams(tcp_flag::syn, {});
    fabric.send(openings, openings.size(), absl::GetFlag(FLAGS_openings));
    std::this_thread::sleep_for(settling_time);
    std::uint64_t const opened = count_all(upstreams);

    std::vector<std::uint8_t> const payload(absl::GetFlag(FLAGS_payload));
    auto const segments =
        make_datagrams(tcp_flag::ack | tcp_flag::psh, payload);
    // The first segment of each flow makes its pins and copies.
    fabric.send(segments, segments.size(), absl::GetFlag(FLAGS_openings));
    std::this_thread::sleep_for(settling_time);

    std::uint32_t const rate = absl::GetFlag(FLAGS_rate);
    std::uint64_t const total =
        std::uint64_t(rate) * absl::GetFlag(FLAGS_seconds);
    std::uint64_t const arrived_before = count_all(upstreams);
    double const used_before = processor_seconds();
    auto const start = monotonic_now();
    fabric.send(segments, total, rate);
    std::chrono::duration<double> const elapsed = monotonic_now() - start;
    std::this_thread::sleep_for(settling_time);
    double const used = processor_seconds() - used_before;
    std::uint64_t const arrived = count_all(upstreams) - arrived_before;

    std::printf(
        "flows=%u opened=%llu sent=%llu arrived=%llu lost_percent=%.3f "
        "sent_per_second=%.0f processor_seconds=%.2f elapsed=%.2f "
        "packets_per_core_second=%.0f\n",
        absl::GetFlag(FLAGS_flows), static_cast<unsigned long long>(opened),
        static_cast<unsigned long long>(total),
        static_cast<unsigned long long>(arrived),
        100.0 * (1.0 - double(arrived) / double(total)),
        double(total) / elapsed.count(), used, elapsed.count(),
        double(arrived) / used);
}

} // namespace

int main(int count, char** arguments)
{
    absl::ParseCommandLine(count, arguments);
    measure();
    return 0;
}
