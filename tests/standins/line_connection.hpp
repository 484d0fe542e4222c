#pragma once

#include "lwip_stack.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include <lwip/tcp.h>

namespace cairnhead::standins
{

/// The connection is established.
struct connected
{
};

/// A whole line arrived; `text` is without its end and valid in the handler.
struct line_received
{
    std::string_view text;
};

/// The peer sends no more.
struct peer_finished
{
};

/// The connection is gone; nothing more happens on it.
struct connection_lost
{
    /// False if lwIP gave up retransmitting.
    bool reset = false;
};

using connection_event =
    std::variant<connected, line_received, peer_finished, connection_lost>;

/// A TCP connection of the stack that carries lines. Keeps itself alive
/// during its handler, so that its owner may drop it there.
/// Thread safety: the stack's thread only.
class line_connection : public std::enable_shared_from_this<line_connection>
{
public:
    using handler = std::function<void(connection_event const&)>;

    line_connection() = default;
    ~line_connection();
    line_connection(line_connection const&) = delete;
    line_connection& operator=(line_connection const&) = delete;

    /// Takes over an accepted connection. Precondition: owned by a
    /// `shared_ptr`, called once and instead of `open`.
    void adopt(tcp_pcb* accepted, handler react);

    /// Opens a connection from the first free port at or after `own_port`;
    /// returns that port. Precondition: as for `adopt`.
    std::uint16_t
    open(std::uint16_t own_port, socket_address destination, handler react);

    /// Sends a line; the text has no line end. Nothing if the connection is
    /// gone.
    void send(std::string_view text);

    /// Sends FIN after all lines; lines of the peer still arrive. False while
    /// lines wait for room: whoever lets go of the connection then would
    /// leave it open for ever.
    bool finish_sending();

    /// Lets go of the connection; lwIP closes it after all lines.
    void close();

    /// Resets the connection.
    void abort();

private:
    static err_t on_connected(void* self, tcp_pcb* pcb, err_t error);
    static err_t on_received(void* self, tcp_pcb* pcb, pbuf* data, err_t error);
    static err_t on_sent(void* self, tcp_pcb* pcb, std::uint16_t size);
    static void on_error(void* self, err_t error);

    void attach(tcp_pcb* connection, handler react);
    void detach();
    void flush();
    void take(pbuf* data);
    [[nodiscard]] err_t callback_result() const;

    tcp_pcb* pcb = nullptr;
    handler handle;
    std::string received;
    std::string unsent;
    /// No line follows those in `unsent`.
    bool finishing = false;
    bool finished = false;
    bool aborted = false;
};

} // namespace cairnhead::standins
