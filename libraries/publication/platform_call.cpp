#include <publication/platform_call.hpp>

#include <publication/platform_protocol.hpp>

#include <utility>

namespace cairnhead
{

namespace
{

using std::chrono_literals::operator""s;

constexpr duration connect_timeout = 2s;

/// Beyond the time that the platform may hold a watch back.
constexpr duration answer_timeout = 5s;

constexpr long status_ok = 200;

/// The only schemes that are ever spoken, whatever the settings say.
constexpr char const* allowed_schemes = "http,https";

long to_milliseconds(duration time)
{
    return static_cast<long>(
        std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

std::string make_url(std::string const& base, platform_request const& request)
{
    if (auto const* watch = std::get_if<platform_watch_call>(&request))
        return make_watch_url(base, watch->after, watch->wait);
    return make_document_url(
        base, std::get<platform_document_call>(request).name);
}

duration get_answer_time(platform_request const& request)
{
    if (auto const* watch = std::get_if<platform_watch_call>(&request))
        return watch->wait + answer_timeout;
    return answer_timeout;
}

} // namespace

platform_outcome
fail_request(platform_request const& request, platform_failure failure)
{
    auto const* document = std::get_if<platform_document_call>(&request);
    if (document == nullptr)
        return {platform_failed{}, failure};
    return {document_fetch_failed{std::nullopt, document->name}, failure};
}

void platform_call::handle_deleter::operator()(CURL* handle) const
{
    curl_easy_cleanup(handle);
}

platform_call::platform_call(
    std::string const& base_url, platform_request wanted)
    : request(std::move(wanted)), easy(curl_easy_init())
{
    if (this->easy == nullptr)
        return;
    auto const answer_time = get_answer_time(this->request);
    this->set_options(make_url(base_url, this->request), answer_time);
}

void platform_call::set_options(std::string const& url, duration answer_within)
{
    auto* const call = this->easy.get();
    curl_easy_setopt(call, CURLOPT_URL, url.c_str());
    curl_easy_setopt(call, CURLOPT_PROTOCOLS_STR, allowed_schemes);
    // A redirect would let whoever answers choose where the VM connects to.
    curl_easy_setopt(call, CURLOPT_FOLLOWLOCATION, 0L);
    // Environment variables must not decide where declarations come from.
    curl_easy_setopt(call, CURLOPT_PROXY, "");
    // Signals for timeouts are not safe in a process with threads.
    curl_easy_setopt(call, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(
        call, CURLOPT_CONNECTTIMEOUT_MS, to_milliseconds(connect_timeout));
    curl_easy_setopt(call, CURLOPT_TIMEOUT_MS, to_milliseconds(answer_within));
    curl_easy_setopt(call, CURLOPT_WRITEFUNCTION, &receive_body);
    curl_easy_setopt(call, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(call, CURLOPT_HEADERFUNCTION, &receive_header);
    curl_easy_setopt(call, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(call, CURLOPT_PRIVATE, this);
}

CURL* platform_call::handle() const
{
    return this->easy.get();
}

std::size_t platform_call::get_body_limit() const
{
    if (std::holds_alternative<platform_watch_call>(this->request))
        return maximum_listing_bytes;
    return maximum_body_bytes;
}

std::size_t platform_call::take_body(std::string_view part)
{
    // An endless body would fill the memory until the process is killed and
    // its pins are lost; taking fewer bytes than offered ends the call.
    if (part.size() > this->get_body_limit() - this->body.size())
    {
        this->is_too_large = true;
        return 0;
    }
    this->body += part;
    return part.size();
}

std::size_t platform_call::receive_body(
    char const* data, std::size_t size, std::size_t count, void* call)
{
    auto* const self = static_cast<platform_call*>(call);
    return self->take_body(std::string_view(data, size * count));
}

std::size_t platform_call::receive_header(
    char const* data, std::size_t size, std::size_t count, void* call)
{
    auto* const self = static_cast<platform_call*>(call);
    auto const value = find_version_value({data, size * count});
    if (value)
        self->version = parse_document_version(*value);
    return size * count;
}

std::optional<platform_failure>
platform_call::find_failure(CURLcode result) const
{
    if (this->is_too_large)
        return platform_failure::too_large;
    if (result == CURLE_OPERATION_TIMEDOUT)
        return platform_failure::timed_out;
    if (result != CURLE_OK)
        return platform_failure::unreachable;
    long status = 0;
    curl_easy_getinfo(this->easy.get(), CURLINFO_RESPONSE_CODE, &status);
    if (status != status_ok)
        return platform_failure::bad_status;
    return std::nullopt;
}

platform_outcome platform_call::finish(CURLcode result)
{
    auto const failure = this->find_failure(result);
    if (failure)
        return fail_request(this->request, *failure);
    auto const* document = std::get_if<platform_document_call>(&this->request);
    if (document == nullptr)
        return this->finish_watch();
    return this->finish_document(*document);
}

platform_outcome platform_call::finish_watch() const
{
    auto result = parse_listing(this->body);
    if (auto const* failure = std::get_if<platform_failure>(&result))
        return fail_request(this->request, *failure);
    return {std::move(std::get<platform_listed>(result)), std::nullopt};
}

platform_outcome
platform_call::finish_document(platform_document_call const& asked)
{
    if (!this->version)
        return fail_request(this->request, platform_failure::missing_version);
    return {
        document_fetched{
            std::nullopt, asked.name, *this->version, std::move(this->body)},
        std::nullopt};
}

} // namespace cairnhead
