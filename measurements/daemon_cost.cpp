#include "daemon_cost.hpp"

#include "caller_packet.hpp"
#include "child_process.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>
#include <optional>
#include <stdexcept>
#include <system_error>
#include <thread>
#include <vector>

namespace cairnhead::measure
{

namespace
{

using std::chrono_literals::operator""s;
using std::chrono_literals::operator""ms;
using steady = std::chrono::steady_clock;

constexpr char const* platform_address = "127.0.9.10";
constexpr char const* fabric_address = "127.0.9.20";
constexpr char const* vm_address = "127.0.9.100";
constexpr char const* upstream_address = "127.0.9.200";
constexpr std::uint16_t encapsulation_port = 6080;
constexpr std::uint16_t fabric_port = 6082;

constexpr std::uint32_t flow_count = 10'000;
constexpr std::size_t send_batch = 64;
constexpr std::size_t receive_batch = 256;
constexpr int buffer_bytes = 8 << 20;
constexpr auto start_deadline = 60s;
constexpr auto retry_wait = 200ms;
constexpr auto warm_length = 1s;
constexpr auto measured_length = 5s;
/// Openings in one go; fewer than a socket's buffer holds.
constexpr std::uint32_t openings_at_once = 64;

sockaddr_in make_address(char const* address, std::uint16_t port)
{
    sockaddr_in made{};
    made.sin_family = AF_INET;
    made.sin_port = htons(port);
    ::inet_pton(AF_INET, address, &made.sin_addr);
    return made;
}

[[noreturn]] void fail(char const* what)
{
    throw std::system_error(errno, std::generic_category(), what);
}

/// A bound UDP socket.
class bound_socket
{
public:
    bound_socket(char const* address, std::uint16_t port)
        : descriptor(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0))
    {
        if (this->descriptor < 0)
            fail("socket");
        int const on = 1;
        sockaddr_in const own = make_address(address, port);
        ::setsockopt(
            this->descriptor, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
            sizeof(buffer_bytes));
        ::setsockopt(
            this->descriptor, SOL_SOCKET, SO_RXQ_OVFL, &on, sizeof(on));
        if (::bind(
                this->descriptor, reinterpret_cast<sockaddr const*>(&own),
                sizeof(own)) != 0)
        {
            ::close(this->descriptor);
            fail("bind");
        }
    }

    bound_socket(bound_socket const&) = delete;
    bound_socket& operator=(bound_socket const&) = delete;

    ~bound_socket()
    {
        ::close(this->descriptor);
    }

    [[nodiscard]] int get() const
    {
        return this->descriptor;
    }

private:
    int descriptor;
};

/// Counts the datagrams that an upstream gets, those included that its full
/// socket buffer dropped. Counts from a thread of its own.
class packet_sink
{
public:
    packet_sink()
        : socket(upstream_address, encapsulation_port), counting(
                                                            [this]
                                                            {
                                                                this->count();
                                                            })
    {
    }

    packet_sink(packet_sink const&) = delete;
    packet_sink& operator=(packet_sink const&) = delete;

    ~packet_sink()
    {
        this->is_ending = true;
        this->counting.join();
    }

    /// Thread safe.
    [[nodiscard]] std::uint64_t total() const
    {
        return this->received + this->dropped;
    }

    /// Thread safe.
    [[nodiscard]] std::uint64_t overflowed() const
    {
        return this->dropped;
    }

private:
    static constexpr std::size_t control_bytes =
        CMSG_SPACE(sizeof(std::uint32_t));

    struct slot
    {
        iovec part{};
        std::array<std::uint8_t, 64> bytes{};
        alignas(cmsghdr) std::array<std::uint8_t, control_bytes> control{};
    };

    void count()
    {
        std::vector<slot> slots(receive_batch);
        std::vector<mmsghdr> headers(receive_batch);
        while (!this->is_ending)
        {
            this->prepare(slots, headers);
            pollfd waiting{this->socket.get(), POLLIN, 0};
            int const timeout = static_cast<int>(retry_wait.count());
            if (::poll(&waiting, 1, timeout) <= 0)
                continue;
            int const count = ::recvmmsg(
                this->socket.get(), headers.data(),
                static_cast<unsigned>(headers.size()), MSG_DONTWAIT, nullptr);
            if (count <= 0)
                continue;
            this->received += static_cast<std::uint64_t>(count);
            this->read_dropped(headers[static_cast<std::size_t>(count) - 1]);
        }
    }

    static void prepare(std::vector<slot>& slots, std::vector<mmsghdr>& headers)
    {
        for (std::size_t index = 0; index < slots.size(); ++index)
        {
            slot& own = slots[index];
            own.part = {own.bytes.data(), own.bytes.size()};
            msghdr& header = headers[index].msg_hdr;
            header = {};
            header.msg_iov = &own.part;
            header.msg_iovlen = 1;
            header.msg_control = own.control.data();
            header.msg_controllen = own.control.size();
        }
    }

    void read_dropped(mmsghdr& last)
    {
        cmsghdr const* const found = CMSG_FIRSTHDR(&last.msg_hdr);
        if (found == nullptr || found->cmsg_type != SO_RXQ_OVFL)
            return;
        std::uint32_t count = 0;
        std::memcpy(&count, CMSG_DATA(found), sizeof(count));
        this->dropped = count;
    }

    bound_socket socket;
    std::atomic<std::uint64_t> received{0};
    std::atomic<std::uint64_t> dropped{0};
    std::atomic<bool> is_ending{false};
    std::thread counting;
};

/// Sends callers' packets as the fabric does.
class packet_source
{
public:
    packet_source()
        : socket(fabric_address, fabric_port),
          target(make_address(vm_address, encapsulation_port))
    {
        for (std::uint32_t flow = 0; flow < flow_count; ++flow)
            this->packets.push_back(write_segment(flow, segment_kind::data));
    }

    void open(std::uint32_t flow)
    {
        auto const segment = write_segment(flow, segment_kind::opening);
        ::sendto(
            this->socket.get(), segment.data(), segment.size(), 0,
            reinterpret_cast<sockaddr const*>(&this->target),
            sizeof(this->target));
    }

    /// Sends data of established flows, round and round.
    std::uint64_t send_for(std::chrono::nanoseconds length)
    {
        std::array<iovec, send_batch> parts{};
        std::array<mmsghdr, send_batch> headers{};
        auto const deadline = steady::now() + length;
        std::uint64_t sent = 0;
        while (steady::now() < deadline)
        {
            this->fill(parts, headers);
            int const count =
                ::sendmmsg(this->socket.get(), headers.data(), send_batch, 0);
            if (count > 0)
                sent += static_cast<std::uint64_t>(count);
        }
        return sent;
    }

private:
    void fill(
        std::array<iovec, send_batch>& parts,
        std::array<mmsghdr, send_batch>& headers)
    {
        for (std::size_t index = 0; index < send_batch; ++index)
        {
            std::vector<std::uint8_t>& packet = this->packets[this->next];
            this->next = (this->next + 1) % this->packets.size();
            parts[index] = {packet.data(), packet.size()};
            msghdr& header = headers[index].msg_hdr;
            header = {};
            header.msg_name = &this->target;
            header.msg_namelen = sizeof(this->target);
            header.msg_iov = &parts[index];
            header.msg_iovlen = 1;
        }
    }

    bound_socket socket;
    sockaddr_in target;
    std::vector<std::vector<std::uint8_t>> packets;
    std::size_t next = 0;
};

/// A folder with the daemon's settings and the platform's documents.
class measurement_folder
{
public:
    measurement_folder()
    {
        std::string pattern =
            (std::filesystem::temp_directory_path() / "cairnhead-XXXXXX")
                .string();
        if (::mkdtemp(pattern.data()) == nullptr)
            fail("mkdtemp");
        this->folder = pattern;
        std::filesystem::create_directories(this->folder / "organisations");
        this->write("allotment.yaml", this->allotment());
        this->write("organisations/association.yaml", this->organisation());
        this->write("vm.yaml", this->settings());
    }

    measurement_folder(measurement_folder const&) = delete;
    measurement_folder& operator=(measurement_folder const&) = delete;

    ~measurement_folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(this->folder, ignored);
    }

    [[nodiscard]] std::string at(std::string const& name) const
    {
        return (this->folder / name).string();
    }

private:
    void write(std::string const& name, std::string const& text) const
    {
        std::ofstream(this->folder / name) << text;
    }

    [[nodiscard]] static std::string allotment()
    {
        return "organisations:\n  association:\n"
               "    addresses: [198.51.100.0/28]\n    upstreams: [" +
               std::string(upstream_address) + "/32]\n";
    }

    [[nodiscard]] static std::string organisation()
    {
        return "organisation: association\nservices:\n  listings:\n"
               "    address: 198.51.100.1:443\n    protocol: tcp\n"
               "    selector: app=listings\n    class: feed\n"
               "    prefer: balance\nupstreams:\n  host-0:\n    address: " +
               std::string(upstream_address) +
               "\n    failure_domain: stirling\n    slots: 2\n"
               "    labels: {app: listings}\n";
    }

    [[nodiscard]] static std::string settings()
    {
        std::string const fabric(fabric_address);
        return "vm:\n  address: " + std::string(vm_address) +
               "\n  failure_domain: stirling\nfabric:\n  listen_port: " +
               std::to_string(encapsulation_port) + "\n  sources: [" + fabric +
               "]\n  return: " + fabric + ":" + std::to_string(fabric_port) +
               "\npeers:\n  port: 6081\n  document_port: 6083\n  seeds: [" +
               vm_address + "]\n  keys:\n    - id: 1\n      secret: " +
               std::string(64, '5') + "\nflow_key: " + std::string(32, '7') +
               "\nplatform:\n  url: http://" + platform_address +
               ":8500\nmetrics:\n  port: 9100\n";
    }

    std::filesystem::path folder;
};

/// Opens flows until the sink has seen one packet of each; a packet that was
/// lost or came before the daemon served is sent again.
void open_all(packet_source& source, packet_sink const& sink)
{
    auto const deadline = steady::now() + start_deadline;
    while (sink.total() == 0)
    {
        if (steady::now() > deadline)
            throw std::runtime_error("the daemon forwards nothing");
        source.open(0);
        std::this_thread::sleep_for(retry_wait);
    }
    for (std::uint32_t flow = 0; flow < flow_count; ++flow)
    {
        source.open(flow);
        if (flow % openings_at_once == 0)
            std::this_thread::sleep_for(1ms);
    }
    std::this_thread::sleep_for(retry_wait);
    if (sink.total() < flow_count)
        throw std::runtime_error("not all openings were forwarded");
}

double measure_running(child_process const& daemon)
{
    packet_sink sink;
    packet_source source;
    open_all(source, sink);
    static_cast<void>(source.send_for(warm_length));
    std::uint64_t const first = sink.total();
    duration const begin = daemon.processor_time();
    std::uint64_t const sent = source.send_for(measured_length);
    duration const spent = daemon.processor_time() - begin;
    std::uint64_t const forwarded = sink.total() - first;
    double const seconds = std::chrono::duration<double>(spent).count();
    double const rate = static_cast<double>(forwarded) / seconds;
    std::cout << "daemon flows=" << flow_count
              << " payload_bytes=" << payload_bytes << " sent=" << sent
              << " forwarded=" << forwarded
              << " of_which_the_sink_dropped=" << sink.overflowed()
              << " elapsed_s="
              << std::chrono::duration<double>(measured_length).count()
              << " daemon_processor_s=" << seconds
              << " packets_per_processor_s=" << rate << std::endl;
    return rate;
}

} // namespace

double measure_daemon()
{
    try
    {
        measurement_folder const folder;
        child_process const platform(
            {CAIRNHEAD_STANDINS, "platform",
             std::string("--listen=") + platform_address + ":8500",
             "--documents=" + folder.at(""),
             std::string("--vms=") + vm_address},
            folder.at("platform.log"));
        child_process const daemon(
            {CAIRNHEAD_PROGRAM, "run", "--settings=" + folder.at("vm.yaml")},
            folder.at("daemon.log"));
        return measure_running(daemon);
    }
    catch (std::exception const& fault)
    {
        std::cout << "daemon not measured: " << fault.what() << std::endl;
        return 0.0;
    }
}

} // namespace cairnhead::measure
