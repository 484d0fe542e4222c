#pragma once

#include <http/http_url.hpp>

#include <base/time.hpp>
#include <cstdint>
#include <kj/compat/http.h>
#include <loop/kj_thread.hpp>
#include <string>
#include <variant>
#include <vector>

namespace cairnhead
{

/// Why a call has no answer.
enum class http_failure : std::uint8_t
{
    /// The URL cannot be spoken to, or the connection failed or broke.
    unreachable,
    timed_out,
    too_large,
};

struct http_header
{
    std::string name;
    std::string value;
};

struct http_answer
{
    unsigned status = 0;
    /// The headers that have no meaning for the connection itself.
    std::vector<http_header> headers;
    std::string body;
};

using http_result = std::variant<http_answer, http_failure>;

/// One GET that is to be made.
struct http_question
{
    std::string url;
    kj::TimePoint connect_by;
    kj::TimePoint answer_by;
    /// A larger body ends the call with `too_large`.
    std::size_t maximum_body_bytes = 0;
};

/// The moment in this time from now, on the clock of a KJ loop's timer. The
/// timer's own `now()` stands still while the loop works, so that a deadline
/// from it would come too early. No precondition. Thread safety: any thread.
[[nodiscard]] kj::TimePoint make_deadline(duration in);

/// Makes GET calls on a KJ loop, and uses connections again that their
/// servers keep open. Redirects and proxies are never followed, so that
/// neither an answer nor the environment chooses where the VM connects to.
/// Thread safety of all methods: none; the loop's thread.
class http_client final : private kj::TaskSet::ErrorHandler
{
public:
    /// Precondition: the loop outlives the object.
    explicit http_client(kj_loop& loop);
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    /// Cancels all calls at once.
    ~http_client() = default;

    /// Makes a call. The promise never fails: failures are results.
    /// Precondition: the object outlives the promise.
    [[nodiscard]] kj::Promise<http_result> get(http_question question);

    /// Runs a promise until it ends or the object does. No precondition.
    void keep(kj::Promise<void> work);

    /// Ends at this moment. Precondition: as for `get`.
    [[nodiscard]] kj::Promise<void> wait_until(kj::TimePoint moment);

private:
    /// Ends its members from the last to the first: the client uses the
    /// stream.
    struct connection
    {
        std::string authority;
        kj::Own<kj::AsyncIoStream> stream;
        kj::Own<kj::HttpClient> client;
    };

    class call;

    [[nodiscard]] kj::Own<connection> take_idle(std::string const& authority);
    void put_idle(kj::Own<connection> ended);
    [[nodiscard]] kj::Promise<kj::Own<connection>>
    connect(std::string const& authority);
    void taskFailed(kj::Exception&& failure) override;

    kj_loop& loop;
    kj::HttpHeaderTable names;
    /// The one used longest ago comes first.
    std::vector<kj::Own<connection>> idle;
    /// Last, so that no call outlives what it uses.
    kj::TaskSet running;
};

} // namespace cairnhead
