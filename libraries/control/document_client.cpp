#include <control/control_source.hpp>
#include <control/document_client.hpp>
#include <control/document_seal.hpp>
#include <control/shared_channel.hpp>
#include <loop/kj_thread.hpp>

#include <control.capnp.h>
#include <map>
#include <sodium.h>
#include <utility>

namespace cairnhead
{

namespace
{

using control_schema::Documents;
using outcome = control_schema::FetchOutcome;
using fetch_results = Documents::FetchResults::Reader;

/// Beyond the largest text there is room for the rest of the message; a text
/// that is a little too large still gets its own reason.
constexpr rpc_limits limits{
    .received_bytes = 2 * maximum_document_bytes,
    .sent_bytes = std::size_t{64} << 10U};

/// A fetch under way; owns what the question views.
struct pending_fetch
{
    fetch_document wanted;
    document_nonce nonce{};

    [[nodiscard]] document_question question() const
    {
        return {
            .name = this->wanted.name,
            .least = this->wanted.version,
            .nonce = this->nonce};
    }
};

failed_fetch fail(fetch_document const& wanted, fetch_failure reason)
{
    return {
        .event = {.source = wanted.source, .name = wanted.name},
        .reason = reason};
}

fetch_failure failure_of(kj::Exception const& exception)
{
    if (exception.getType() == kj::Exception::Type::DISCONNECTED)
        return fetch_failure::unreachable;
    return fetch_failure::malformed;
}

/// What the peer's own refusal means here.
fetch_failure failure_of(outcome given)
{
    switch (given)
    {
    case outcome::NOT_HELD:
        return fetch_failure::not_held;
    case outcome::NOT_AUTHENTIC:
        return fetch_failure::refused;
    case outcome::TOO_LARGE:
        return fetch_failure::too_large;
    case outcome::FOUND:
        break;
    }
    return fetch_failure::malformed;
}

document_result check_found(
    authenticator const& keys, pending_fetch const& fetch, fetch_results answer)
{
    auto const text = answer.getText().asChars();
    if (text.size() > maximum_document_bytes)
        return fail(fetch.wanted, fetch_failure::too_large);
    document_statement const statement{
        .question = fetch.question(),
        .version = document_version(answer.getVersion()),
        .text = {text.begin(), text.size()}};
    auto const sealed = answer.getSeal();
    if (!is_sealed(keys, statement, {sealed.begin(), sealed.size()}))
        return fail(fetch.wanted, fetch_failure::not_authentic);
    if (statement.version < fetch.wanted.version)
        return fail(fetch.wanted, fetch_failure::malformed);
    return document_fetched{
        .source = fetch.wanted.source,
        .name = fetch.wanted.name,
        .version = statement.version,
        .text = std::string(statement.text)};
}

document_result check_answer(
    authenticator const& keys, pending_fetch const& fetch, fetch_results answer)
{
    auto const given = answer.getOutcome();
    if (given != outcome::FOUND)
        return fail(fetch.wanted, failure_of(given));
    return check_found(keys, fetch, answer);
}

void write_request(
    authenticator const& keys,
    pending_fetch const& fetch,
    Documents::FetchParams::Builder request)
{
    auto const& wanted = fetch.wanted;
    request.setName({wanted.name.c_str(), wanted.name.size()});
    request.setLeastVersion(wanted.version.value());
    request.setHeldVersion(wanted.held.value());
    request.setNonce(kj::arrayPtr(fetch.nonce.data(), fetch.nonce.size()));
    auto const sealed = seal(keys, fetch.question());
    request.setSeal(kj::arrayPtr(sealed.data(), sealed.size()));
}

kj::Promise<document_result> ask_over(
    kj::Own<shared_channel> channel,
    authenticator const& keys,
    pending_fetch const& fetch)
{
    auto answer = channel->bootstrap().then(
        [&keys, &fetch](capnp::Capability::Client&& served)
        {
            auto request = served.castAs<Documents>().fetchRequest();
            write_request(keys, fetch, request);
            return request.send().then(
                [&keys, &fetch](auto&& response)
                {
                    return check_answer(keys, fetch, response);
                });
        });
    return answer.attach(kj::mv(channel));
}

} // namespace

struct document_client::shared_state
{
    document_client_options options;
    authenticator const& keys;
    on_result finished;
    /// Those that are open. The client's thread alone uses it.
    std::map<vm_id, shared_channel*> channels;

    /// Runs on the client's thread.
    void start(kj_loop& loop, fetch_document wanted);
    [[nodiscard]] kj::Promise<document_result>
    ask(kj_loop& loop, pending_fetch const& fetch);
    [[nodiscard]] kj::Own<shared_channel> channel_to(kj_loop& loop, vm_id peer);
};

kj::Own<shared_channel>
document_client::shared_state::channel_to(kj_loop& loop, vm_id peer)
{
    auto const open = this->channels.find(peer);
    if (open != this->channels.end())
        return kj::addRef(*open->second);
    auto target = make_address(
        loop.network(), ipv4_address(peer.value()), this->options.port);
    auto connecting = target->connect().attach(kj::mv(target));
    auto channel = kj::refcounted<shared_channel>(
        kj::mv(connecting), limits,
        [this, peer]
        {
            this->channels.erase(peer);
        });
    this->channels[peer] = channel.get();
    return channel;
}

kj::Promise<document_result>
document_client::shared_state::ask(kj_loop& loop, pending_fetch const& fetch)
{
    auto answer = ask_over(
        this->channel_to(loop, *fetch.wanted.source), this->keys, fetch);
    auto& timer = loop.timer();
    auto const deadline =
        timer.now() + this->options.timeout.count() * kj::NANOSECONDS;
    auto late = timer.atTime(deadline).then(
        [&fetch]() -> document_result
        {
            return fail(fetch.wanted, fetch_failure::timed_out);
        });
    return answer.exclusiveJoin(kj::mv(late));
}

void document_client::shared_state::start(kj_loop& loop, fetch_document wanted)
{
    auto fetch = kj::heap<pending_fetch>();
    fetch->wanted = std::move(wanted);
    randombytes_buf(fetch->nonce.data(), fetch->nonce.size());
    auto const& asked = *fetch;
    auto result = kj::evalNow(
                      [&]
                      {
                          return this->ask(loop, asked);
                      })
                      .catch_(
                          [&asked](kj::Exception&& exception) -> document_result
                          {
                              return fail(asked.wanted, failure_of(exception));
                          })
                      .then(
                          [this](document_result&& told)
                          {
                              this->finished(std::move(told));
                          });
    loop.tasks.add(result.attach(kj::mv(fetch)));
}

std::string_view to_text(fetch_failure failure)
{
    switch (failure)
    {
    case fetch_failure::unreachable:
        return "unreachable";
    case fetch_failure::timed_out:
        return "timed_out";
    case fetch_failure::not_held:
        return "not_held";
    case fetch_failure::refused:
        return "refused";
    case fetch_failure::not_authentic:
        return "not_authentic";
    case fetch_failure::too_large:
        return "too_large";
    case fetch_failure::malformed:
        return "malformed";
    }
    return "unknown";
}

document_client::document_client(
    document_client_options options,
    authenticator const& keys,
    on_result finished)
    : state(new shared_state{options, keys, std::move(finished), {}}),
      thread(std::make_unique<kj_thread>())
{
}

document_client::~document_client() = default;

void document_client::fetch(fetch_document const& wanted)
{
    this->thread->post(
        [state = this->state.get(), wanted](kj_loop& loop)
        {
            state->start(loop, wanted);
        });
}

} // namespace cairnhead
