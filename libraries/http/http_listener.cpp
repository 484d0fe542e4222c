#include <http/http_listener.hpp>

#include <utility>

namespace cairnhead
{

namespace
{

/// Connections at the same time; further ones are closed.
constexpr std::size_t maximum_connections = 64;

/// A connection that says nothing must not hold one of the few for long.
constexpr auto header_timeout = 1 * kj::SECONDS;

/// As for one that reads its answer slowly.
constexpr auto connection_lifetime = 10 * kj::SECONDS;

/// Pause after a failed accept; most often descriptors ran out, and an
/// immediate next try would spin.
constexpr auto accept_pause = 100 * kj::MILLISECONDS;

constexpr unsigned method_not_allowed = 405;

kj::HttpServerSettings make_settings(kj::HttpServerCallbacks& callbacks)
{
    kj::HttpServerSettings settings;
    settings.headerTimeout = header_timeout;
    settings.callbacks = callbacks;
    return settings;
}

kj::StringPtr to_text(unsigned status)
{
    switch (status)
    {
    case 200:
        return "OK";
    case 404:
        return "Not Found";
    case method_not_allowed:
        return "Method Not Allowed";
    case 503:
        return "Service Unavailable";
    default:
        return "Unnamed";
    }
}

} // namespace

http_listener::http_listener(
    kj_loop& on,
    kj::Own<kj::ConnectionReceiver> from,
    http_server::answerer const& with)
    : loop(on), receiver(kj::mv(from)), answers(with),
      server(
          on.timer(),
          this->names,
          static_cast<kj::HttpService&>(*this),
          make_settings(*this)),
      connections(*this)
{
}

kj::Promise<void> http_listener::accept_connections()
{
    auto accepted = this->receiver->accept().then(
        [this](kj::Own<kj::AsyncIoStream>&& stream) -> kj::Promise<void>
        {
            this->serve(kj::mv(stream));
            return kj::READY_NOW;
        },
        [this](kj::Exception&&) -> kj::Promise<void>
        {
            auto& timer = this->loop.timer();
            return timer.atTime(timer.now() + accept_pause);
        });
    return accepted.then(
        [this]
        {
            return this->accept_connections();
        });
}

void http_listener::serve(kj::Own<kj::AsyncIoStream> stream)
{
    if (this->open_connections >= maximum_connections)
        return;
    ++this->open_connections;
    auto& timer = this->loop.timer();
    auto const deadline = timer.now() + connection_lifetime;
    auto served = this->server.listenHttp(kj::mv(stream))
                      .exclusiveJoin(timer.atTime(deadline));
    this->connections.add(served.attach(kj::defer(
        [this]
        {
            --this->open_connections;
        })));
}

http_reply
http_listener::answer(kj::HttpMethod method, std::string_view target) const
{
    if (method != kj::HttpMethod::GET && method != kj::HttpMethod::HEAD)
        return {method_not_allowed, {}, {}};
    return this->answers(target.substr(0, target.find('?')));
}

kj::Promise<void> http_listener::request(
    kj::HttpMethod method,
    kj::StringPtr url,
    kj::HttpHeaders const&,
    kj::AsyncInputStream&,
    kj::HttpService::Response& response)
{
    auto reply =
        kj::heap<http_reply>(this->answer(method, {url.begin(), url.size()}));
    kj::HttpHeaders headers(this->names);
    if (!reply->content_type.empty())
        headers.set(
            kj::HttpHeaderId::CONTENT_TYPE, reply->content_type.c_str());
    auto const& body = reply->body;
    auto stream = response.send(
        reply->status, to_text(reply->status), headers, body.size());
    if (body.empty())
        return kj::READY_NOW;
    auto written = stream->write(body.data(), body.size());
    return written.attach(kj::mv(stream), kj::mv(reply));
}

bool http_listener::shouldClose()
{
    // Callers ask seldom. Kept open, their connections would use up the few
    // places, and further callers would find the port closed.
    return true;
}

void http_listener::taskFailed(kj::Exception&&)
{
    // The connection broke; its other side notices that itself.
}

} // namespace cairnhead
