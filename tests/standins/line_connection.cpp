#include "line_connection.hpp"

#include <algorithm>
#include <limits>
#include <new>
#include <utility>

namespace cairnhead::standins
{
namespace
{

/// Ports below are for servers.
constexpr std::uint16_t first_own_port = 1'024;

std::uint16_t port_after(std::uint16_t port)
{
    auto const last = std::numeric_limits<std::uint16_t>::max();
    return port == last ? first_own_port : static_cast<std::uint16_t>(port + 1);
}

/// A new pcb bound to the first free port. lwIP's own choice has 16,384
/// ports, which connections in TIME_WAIT use up within two minutes.
tcp_pcb* bind_from(std::uint16_t& port)
{
    auto* const pcb = tcp_new();
    if (pcb == nullptr)
    {
        throw std::bad_alloc{};
    }
    while (tcp_bind(pcb, IP_ANY_TYPE, port) == ERR_USE)
    {
        port = port_after(port);
    }
    return pcb;
}

} // namespace

line_connection::~line_connection()
{
    this->detach();
}

void line_connection::adopt(tcp_pcb* accepted, handler react)
{
    this->attach(accepted, std::move(react));
}

std::uint16_t line_connection::open(
    std::uint16_t own_port, socket_address destination, handler react)
{
    auto port = std::max(own_port, first_own_port);
    this->attach(bind_from(port), std::move(react));
    auto const address = to_lwip(destination.address);
    tcp_connect(this->pcb, &address, destination.port, on_connected);
    return port;
}

void line_connection::send(std::string_view text)
{
    this->unsent.append(text).push_back('\n');
    this->flush();
}

bool line_connection::finish_sending()
{
    this->finishing = true;
    this->flush();
    return this->unsent.empty();
}

void line_connection::close()
{
    auto* const closed = this->pcb;
    this->detach();
    if (closed != nullptr)
    {
        tcp_close(closed);
    }
}

void line_connection::abort()
{
    auto* const closed = this->pcb;
    this->detach();
    if (closed != nullptr)
    {
        this->aborted = true;
        tcp_abort(closed);
    }
}

err_t line_connection::on_connected(
    void* self, tcp_pcb* /*pcb*/, err_t /*error*/)
{
    auto const kept = static_cast<line_connection*>(self)->shared_from_this();
    kept->handle(connected{});
    return kept->callback_result();
}

err_t line_connection::on_received(
    void* self, tcp_pcb* pcb, pbuf* data, err_t /*error*/)
{
    auto const kept = static_cast<line_connection*>(self)->shared_from_this();
    if (data == nullptr)
    {
        kept->handle(peer_finished{});
        return kept->callback_result();
    }
    tcp_recved(pcb, data->tot_len);
    kept->take(data);
    return kept->callback_result();
}

err_t line_connection::on_sent(
    void* self, tcp_pcb* /*pcb*/, std::uint16_t /*size*/)
{
    static_cast<line_connection*>(self)->flush();
    return ERR_OK;
}

void line_connection::on_error(void* self, err_t error)
{
    auto const kept = static_cast<line_connection*>(self)->shared_from_this();
    // lwIP has freed the pcb already.
    kept->pcb = nullptr;
    kept->handle(connection_lost{.reset = error == ERR_RST});
}

void line_connection::attach(tcp_pcb* connection, handler react)
{
    this->pcb = connection;
    this->handle = std::move(react);
    tcp_nagle_disable(this->pcb);
    tcp_arg(this->pcb, this);
    tcp_recv(this->pcb, on_received);
    tcp_sent(this->pcb, on_sent);
    tcp_err(this->pcb, on_error);
}

void line_connection::detach()
{
    if (this->pcb == nullptr)
    {
        return;
    }
    tcp_arg(this->pcb, nullptr);
    tcp_recv(this->pcb, nullptr);
    tcp_sent(this->pcb, nullptr);
    tcp_err(this->pcb, nullptr);
    this->pcb = nullptr;
}

void line_connection::flush()
{
    if (this->pcb == nullptr)
    {
        return;
    }
    auto const size = static_cast<std::uint16_t>(
        std::min<std::size_t>(this->unsent.size(), tcp_sndbuf(this->pcb)));
    if (size > 0 &&
        tcp_write(this->pcb, this->unsent.data(), size, TCP_WRITE_FLAG_COPY) ==
            ERR_OK)
    {
        this->unsent.erase(0, size);
    }
    tcp_output(this->pcb);
    if (this->finishing && !this->finished && this->unsent.empty())
    {
        this->finished = true;
        tcp_shutdown(this->pcb, 0, 1);
    }
}

void line_connection::take(pbuf* data)
{
    auto const before = this->received.size();
    this->received.resize(before + data->tot_len);
    pbuf_copy_partial(data, this->received.data() + before, data->tot_len, 0);
    pbuf_free(data);
    auto const whole = std::exchange(this->received, {});
    std::size_t start = 0;
    for (auto end = whole.find('\n'); end != whole.npos;
         end = whole.find('\n', start))
    {
        auto const text = std::string_view{whole}.substr(start, end - start);
        start = end + 1;
        if (this->pcb == nullptr)
        {
            return;
        }
        this->handle(line_received{text});
    }
    this->received = whole.substr(start);
}

err_t line_connection::callback_result() const
{
    return this->aborted ? ERR_ABRT : ERR_OK;
}

} // namespace cairnhead::standins
