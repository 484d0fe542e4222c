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

constexpr unsigned status_ok = 200;

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

std::size_t get_body_limit(platform_request const& request)
{
    if (std::holds_alternative<platform_watch_call>(request))
        return maximum_listing_bytes;
    return maximum_body_bytes;
}

platform_failure to_platform_failure(http_failure failure)
{
    switch (failure)
    {
    case http_failure::too_large:
        return platform_failure::too_large;
    case http_failure::timed_out:
        return platform_failure::timed_out;
    case http_failure::unreachable:
        break;
    }
    return platform_failure::unreachable;
}

std::optional<document_version> find_version(http_answer const& answer)
{
    std::optional<document_version> version;
    for (auto const& [name, value] : answer.headers)
    {
        std::string line = name;
        line += ": ";
        line += value;
        if (auto const found = find_version_value(line))
            version = parse_document_version(*found);
    }
    return version;
}

platform_outcome
read_listing(platform_request const& request, http_answer const& answer)
{
    auto result = parse_listing(answer.body);
    if (auto const* failure = std::get_if<platform_failure>(&result))
        return fail_request(request, *failure);
    return {std::move(std::get<platform_listed>(result)), std::nullopt};
}

platform_outcome
read_document(platform_document_call const& asked, http_answer answer)
{
    auto const version = find_version(answer);
    if (!version)
        return fail_request(asked, platform_failure::missing_version);
    return {
        document_fetched{
            std::nullopt, asked.name, *version, std::move(answer.body)},
        std::nullopt};
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

http_question
make_question(std::string const& base_url, platform_request const& request)
{
    return {
        .url = make_url(base_url, request),
        .connect_by = make_deadline(connect_timeout),
        .answer_by = make_deadline(get_answer_time(request)),
        .maximum_body_bytes = get_body_limit(request)};
}

platform_outcome
read_result(platform_request const& request, http_result result)
{
    if (auto const* failure = std::get_if<http_failure>(&result))
        return fail_request(request, to_platform_failure(*failure));
    auto& answer = std::get<http_answer>(result);
    if (answer.status != status_ok)
        return fail_request(request, platform_failure::bad_status);
    auto const* document = std::get_if<platform_document_call>(&request);
    if (document == nullptr)
        return read_listing(request, answer);
    return read_document(*document, std::move(answer));
}

} // namespace cairnhead
