#include <http/http_client.hpp>

#include <algorithm>
#include <cctype>
#include <optional>
#include <utility>

namespace cairnhead
{

namespace
{

/// Connections kept for later calls. Each is a descriptor of this VM and
/// memory of its server.
constexpr std::size_t maximum_idle_connections = 16;

constexpr unsigned default_port = 80;

constexpr std::size_t read_bytes = std::size_t{16} << 10U;

std::string to_string(kj::StringPtr text)
{
    return {text.begin(), text.size()};
}

std::vector<http_header> copy_headers(kj::HttpHeaders const& from)
{
    std::vector<http_header> copied;
    from.forEach(
        [&copied](kj::StringPtr name, kj::StringPtr value)
        {
            copied.push_back({to_string(name), to_string(value)});
        });
    return copied;
}

bool names_close(kj::StringPtr options)
{
    std::string lower = to_string(options);
    std::ranges::transform(
        lower, lower.begin(),
        [](unsigned char letter)
        {
            return static_cast<char>(std::tolower(letter));
        });
    return lower.find("close") != std::string::npos;
}

} // namespace

kj::TimePoint make_deadline(duration in)
{
    return kj::systemPreciseMonotonicClock().now() +
           in.count() * kj::NANOSECONDS;
}

/// One call under way.
class http_client::call
{
public:
    call(http_client& on, http_question wanted);
    call(call const&) = delete;
    call& operator=(call const&) = delete;
    ~call() = default;

    [[nodiscard]] kj::Promise<http_result> run();

private:
    [[nodiscard]] kj::Promise<http_result> ask_idle_or_connect();
    [[nodiscard]] kj::Promise<http_result> ask_anew();
    [[nodiscard]] kj::Promise<http_result> ask();
    [[nodiscard]] kj::Promise<http_result>
    take(kj::HttpClient::Response response);
    [[nodiscard]] kj::Promise<http_result> read_body();
    [[nodiscard]] http_result finish();

    http_client& client;
    http_question question;
    std::optional<http_url> url;
    kj::Own<connection> used;
    kj::Own<kj::AsyncInputStream> body;
    http_answer answer;
    bool has_answer_begun = false;
    bool can_be_used_again = true;
    char buffer[read_bytes];
};

http_client::call::call(http_client& on, http_question wanted)
    : client(on), question(std::move(wanted)),
      url(parse_http_url(this->question.url))
{
}

kj::Promise<http_result> http_client::call::run()
{
    if (!this->url)
        return http_result(http_failure::unreachable);
    auto answered = kj::evalNow(
                        [this]
                        {
                            return this->ask_idle_or_connect();
                        })
                        .catch_(
                            [](kj::Exception&&) -> http_result
                            {
                                return http_failure::unreachable;
                            });
    auto late = this->client.wait_until(this->question.answer_by)
                    .then(
                        []() -> http_result
                        {
                            return http_failure::timed_out;
                        });
    return answered.exclusiveJoin(kj::mv(late));
}

kj::Promise<http_result> http_client::call::ask_idle_or_connect()
{
    this->used = this->client.take_idle(this->url->authority);
    if (this->used.get() == nullptr)
        return this->ask_anew();
    // The server may have closed the connection while nobody looked. That
    // shows only now, as a break before the answer begins; the call would
    // fail although the server is well. A call on a new connection tells.
    return kj::evalNow(
               [this]
               {
                   return this->ask();
               })
        .catch_(
            [this](kj::Exception&& broken) -> kj::Promise<http_result>
            {
                if (this->has_answer_begun)
                    return kj::mv(broken);
                this->used = nullptr;
                return this->ask_anew();
            });
}

kj::Promise<http_result> http_client::call::ask_anew()
{
    auto late = this->client.wait_until(this->question.connect_by)
                    .then(
                        []
                        {
                            return false;
                        });
    auto connected = this->client.connect(this->url->authority)
                         .then(
                             [this](kj::Own<connection>&& made)
                             {
                                 this->used = kj::mv(made);
                                 return true;
                             });
    return connected.exclusiveJoin(kj::mv(late))
        .then(
            [this](bool is_connected) -> kj::Promise<http_result>
            {
                if (!is_connected)
                    return http_result(http_failure::timed_out);
                return this->ask();
            });
}

kj::Promise<http_result> http_client::call::ask()
{
    kj::HttpHeaders headers(this->client.names);
    headers.set(kj::HttpHeaderId::HOST, this->url->authority.c_str());
    auto request = this->used->client->request(
        kj::HttpMethod::GET, this->url->target.c_str(), headers);
    return request.response.then(
        [this](kj::HttpClient::Response&& response)
        {
            return this->take(kj::mv(response));
        });
}

kj::Promise<http_result>
http_client::call::take(kj::HttpClient::Response response)
{
    this->has_answer_begun = true;
    this->answer.status = response.statusCode;
    this->answer.headers = copy_headers(*response.headers);
    KJ_IF_MAYBE (options, response.headers->get(kj::HttpHeaderId::CONNECTION))
        this->can_be_used_again = !names_close(*options);
    this->body = kj::mv(response.body);
    return this->read_body();
}

kj::Promise<http_result> http_client::call::read_body()
{
    return this->body->tryRead(this->buffer, 1, read_bytes)
        .then(
            [this](std::size_t count) -> kj::Promise<http_result>
            {
                if (count == 0)
                    return this->finish();
                // An endless body would fill the memory until the process is
                // killed and its pins are lost.
                auto& text = this->answer.body;
                if (count > this->question.maximum_body_bytes - text.size())
                    return http_result(http_failure::too_large);
                text.append(this->buffer, count);
                return this->read_body();
            });
}

http_result http_client::call::finish()
{
    this->body = nullptr;
    if (this->can_be_used_again)
        this->client.put_idle(kj::mv(this->used));
    return std::move(this->answer);
}

http_client::http_client(kj_loop& on) : loop(on), running(*this)
{
}

kj::Promise<http_result> http_client::get(http_question question)
{
    auto started = kj::heap<call>(*this, std::move(question));
    auto result = started->run();
    return result.attach(kj::mv(started));
}

void http_client::keep(kj::Promise<void> work)
{
    this->running.add(kj::mv(work));
}

kj::Promise<void> http_client::wait_until(kj::TimePoint moment)
{
    return this->loop.timer().atTime(moment);
}

kj::Own<http_client::connection>
http_client::take_idle(std::string const& authority)
{
    auto const found = std::ranges::find_if(
        this->idle,
        [&authority](kj::Own<connection> const& each)
        {
            return each->authority == authority;
        });
    if (found == this->idle.end())
        return {};
    auto taken = kj::mv(*found);
    this->idle.erase(found);
    return taken;
}

void http_client::put_idle(kj::Own<connection> ended)
{
    if (this->idle.size() >= maximum_idle_connections)
        this->idle.erase(this->idle.begin());
    this->idle.push_back(kj::mv(ended));
}

kj::Promise<kj::Own<http_client::connection>>
http_client::connect(std::string const& authority)
{
    return this->loop.network()
        .parseAddress(authority.c_str(), default_port)
        .then(
            [](kj::Own<kj::NetworkAddress>&& address)
            {
                auto connected = address->connect();
                return connected.attach(kj::mv(address));
            })
        .then(
            [this, &authority](kj::Own<kj::AsyncIoStream>&& stream)
            {
                auto made = kj::heap<connection>();
                made->authority = authority;
                made->stream = kj::mv(stream);
                made->client = kj::newHttpClient(this->names, *made->stream);
                return made;
            });
}

void http_client::taskFailed(kj::Exception&&)
{
    // Calls tell their failures as results; whoever keeps other work handles
    // its failures there.
}

} // namespace cairnhead
