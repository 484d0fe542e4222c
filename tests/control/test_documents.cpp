#include "samples.hpp"

#include <control/document_seal.hpp>

#include <memory>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

// Last: its macro `Test` would change Abseil's headers.
#include <criterion/criterion.h>

using namespace cairnhead;
using namespace cairnhead::control_samples;

namespace
{

std::vector<std::uint8_t> const fleet_secret(32, 0x11);
std::vector<std::uint8_t> const other_secret(32, 0x22);

authenticator make_keys(std::vector<std::uint8_t> const& secret)
{
    authenticator::key const key{1, secret};
    return authenticator(std::span(&key, 1));
}

document_source holding(std::uint64_t version, std::string const& text)
{
    document_content const content{
        document_version(version), std::make_shared<std::string>(text)};
    return [content](
               std::string const& name, document_version,
               reply_to<std::optional<document_content>> const& reply)
    {
        if (name == "association")
            reply(content);
        else
            reply(std::nullopt);
    };
}

fetch_document wanted(std::string name, std::uint64_t least)
{
    return {loopback_vm, std::move(name), document_version(least)};
}

/// Fetches from a port and waits for the only result.
document_result
fetch(authenticator const& keys, std::uint16_t port, fetch_document const& what)
{
    std::promise<document_result> told;
    document_client client(
        {.port = port, .timeout = patience}, keys,
        [&](document_result result)
        {
            told.set_value(std::move(result));
        });
    client.fetch(what);
    return told.get_future().get();
}

std::string text_of(document_result const& result)
{
    if (auto const* const failed = std::get_if<failed_fetch>(&result))
        return std::string(to_text(failed->reason));
    return std::get<document_fetched>(result).text;
}

} // namespace

Test(documents, a_document_arrives_whole)
{
    auto const keys = make_keys(fleet_secret);
    std::string const text(maximum_document_bytes, 'd');
    rpc_server server;
    auto const port =
        server.serve_documents(loopback, 0, holding(412, text), keys);
    auto const result = fetch(keys, port, wanted("association", 411));
    auto const& fetched = std::get<document_fetched>(result);
    cr_expect(fetched.source == loopback_vm);
    cr_expect_eq(fetched.name, "association");
    cr_expect(fetched.version == document_version(412));
    cr_expect(fetched.text == text);
}

Test(documents, failures_are_typed)
{
    // Symptom: a VM takes a document from a stranger, or one that fills its
    // memory, or waits for ever for a peer that has nothing newer.
    // Sequence: the peer has another key, no such document, an older one, or
    // one beyond the limit.
    // Cause: an answer that is taken as it comes.
    auto const keys = make_keys(fleet_secret);
    auto const other_keys = make_keys(other_secret);
    std::string const oversized(maximum_document_bytes + 1, 'd');
    struct failure_case
    {
        authenticator const& asking;
        document_source source;
        fetch_document what;
        std::string expected;
    };
    failure_case const cases[] = {
        {other_keys, holding(5, "text"), wanted("association", 5), "refused"},
        {keys, holding(5, "text"), wanted("brackenlea", 5), "not_held"},
        {keys, holding(5, "text"), wanted("association", 6), "not_held"},
        {keys, holding(5, oversized), wanted("association", 5), "too_large"},
        {keys, holding(5, "text"), wanted("association", 5), "text"},
    };
    for (auto const& item : cases)
    {
        rpc_server server;
        auto const port =
            server.serve_documents(loopback, 0, item.source, keys);
        auto const told = text_of(fetch(item.asking, port, item.what));
        cr_expect_eq(told, item.expected, "%s", told.c_str());
    }
    auto const port = closed_port();
    auto const told = text_of(fetch(keys, port, wanted("association", 5)));
    cr_expect_eq(told, "unreachable", "%s", told.c_str());
}

Test(documents, a_seal_fits_only_its_own_statement)
{
    // Symptom: a VM puts a document into force that no peer sent.
    // Sequence: someone between two VMs changes an answer, or repeats an old
    // answer, or a question's seal, for a new question.
    // Cause: a tag that covers the text alone.
    auto const keys = make_keys(fleet_secret);
    document_statement const original{
        {"association", document_version(5), {1, 2, 3}},
        document_version(6),
        "text"};
    auto const sealed = seal(keys, original);
    cr_assert(is_sealed(keys, original, sealed));
    std::vector<document_statement> changed(5, original);
    changed[0].question.name = "association2";
    changed[1].question.least = document_version(4);
    changed[2].question.nonce[15] = 1;
    changed[3].version = document_version(7);
    changed[4].text = "texT";
    for (auto const& statement : changed)
        cr_expect_not(is_sealed(keys, statement, sealed));
    cr_expect_not(is_sealed(make_keys(other_secret), original, sealed));
    cr_expect_not(is_sealed(keys, original, std::span(sealed).first(17)));
    cr_expect_not(is_sealed(keys, original, seal(keys, original.question)));
}

Test(documents, fields_do_not_run_into_each_other)
{
    auto const keys = make_keys(fleet_secret);
    document_statement first{{"ab", {}, {}}, document_version(1), "c"};
    document_statement second{{"a", {}, {}}, document_version(1), "bc"};
    cr_expect_not(is_sealed(keys, second, seal(keys, first)));
}

Test(documents, the_server_learns_which_version_the_asker_holds)
{
    auto const keys = make_keys(fleet_secret);
    std::promise<document_version> told;
    rpc_server server;
    auto const port = server.serve_documents(
        loopback, 0,
        [&](std::string const&, document_version held_there,
            reply_to<std::optional<document_content>> const& reply)
        {
            told.set_value(held_there);
            reply(std::nullopt);
        },
        keys);
    document_client client(
        {.port = port, .timeout = patience}, keys,
        [](document_result const&) {});
    auto asked = wanted("registry/upstreams", 9);
    asked.held = document_version(7);
    client.fetch(asked);
    cr_expect_eq(told.get_future().get().value(), 7);
}

Test(documents, a_client_stops_at_once_with_a_fetch_in_progress)
{
    // Symptom: a planned leave hangs on a peer that answers nothing.
    // Sequence: a fetch waits; the client stops; then the peer answers.
    // Cause: a client that waits for its fetches.
    auto const keys = make_keys(fleet_secret);
    std::promise<reply_to<std::optional<document_content>>> asked;
    auto server = std::make_unique<rpc_server>();
    auto const port = server->serve_documents(
        loopback, 0,
        [&](std::string const&, document_version,
            reply_to<std::optional<document_content>> reply)
        {
            asked.set_value(std::move(reply));
        },
        keys);
    auto client = std::make_unique<document_client>(
        document_client_options{.port = port, .timeout = patience}, keys,
        [](document_result const&)
        {
            cr_assert_fail("no result was due");
        });
    client->fetch(wanted("association", 5));
    auto const reply = asked.get_future().get();
    client.reset();
    reply(std::nullopt);
}

Test(documents, a_peer_that_does_not_answer_times_out)
{
    // Symptom: a version store waits for a result that never comes.
    // Sequence: a peer accepts the connection and is then paused.
    // Cause: a fetch without a deadline.
    auto const keys = make_keys(fleet_secret);
    std::vector<reply_to<std::optional<document_content>>> kept;
    rpc_server server;
    auto const port = server.serve_documents(
        loopback, 0,
        [&](std::string const&, document_version,
            reply_to<std::optional<document_content>> reply)
        {
            kept.push_back(std::move(reply));
        },
        keys);
    std::promise<document_result> told;
    document_client client(
        {.port = port, .timeout = std::chrono::milliseconds(20)}, keys,
        [&](document_result result)
        {
            told.set_value(std::move(result));
        });
    client.fetch(wanted("association", 5));
    cr_expect_eq(text_of(told.get_future().get()), "timed_out");
}

namespace
{

/// Accepts connections and says nothing.
class silent_listener
{
public:
    silent_listener()
        : descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(loopback.value());
        auto* const raw = reinterpret_cast<sockaddr*>(&address);
        cr_assert_eq(::bind(this->descriptor, raw, sizeof(address)), 0);
        cr_assert_eq(::listen(this->descriptor, 16), 0);
        socklen_t size = sizeof(address);
        cr_assert_eq(::getsockname(this->descriptor, raw, &size), 0);
        this->bound = ntohs(address.sin_port);
    }

    ~silent_listener()
    {
        ::close(this->descriptor);
    }

    silent_listener(silent_listener const&) = delete;
    silent_listener& operator=(silent_listener const&) = delete;

    [[nodiscard]] std::uint16_t port() const
    {
        return this->bound;
    }

    /// How many connections came.
    [[nodiscard]] int count_connections() const
    {
        int count = 0;
        for (int accepted = 0;
             (accepted = ::accept(this->descriptor, nullptr, nullptr)) >= 0;
             ++count)
            ::close(accepted);
        return count;
    }

private:
    int descriptor;
    std::uint16_t bound = 0;
};

} // namespace

// Symptom: the VMs that others join through have hundreds of connections, and
// spend their processors on opening them. Sequence: a joiner fetches both of a
// registry's documents from one peer. Cause: a connection for each.
Test(documents, what_comes_from_one_peer_at_once_shares_a_connection)
{
    auto const keys = make_keys(fleet_secret);
    silent_listener const peer;
    std::promise<void> both;
    int results = 0;
    document_client client(
        {.port = peer.port(), .timeout = std::chrono::milliseconds(50)}, keys,
        [&](document_result const& result)
        {
            cr_expect_eq(text_of(result), "timed_out");
            if (++results == 2)
                both.set_value();
        });
    client.fetch(wanted("registry/routes", 1));
    client.fetch(wanted("registry/upstreams", 1));
    both.get_future().get();
    cr_expect_eq(peer.count_connections(), 1);
}

// Symptom: a VM that failed once to fetch from a peer never can again. Cause: a
// broken connection that is kept for the next fetch.
Test(documents, a_connection_that_failed_is_not_used_again)
{
    auto const keys = make_keys(fleet_secret);
    std::uint16_t port = 0;
    {
        silent_listener const reserved;
        port = reserved.port();
    }
    std::promise<std::string> first;
    std::promise<std::string> second;
    std::promise<std::string>* next = &first;
    document_client client(
        {.port = port, .timeout = patience}, keys,
        [&](document_result const& result)
        {
            next->set_value(text_of(result));
        });
    client.fetch(wanted("association", 5));
    cr_expect_eq(first.get_future().get(), "unreachable");
    next = &second;
    rpc_server server;
    server.serve_documents(loopback, port, holding(5, "text"), keys);
    client.fetch(wanted("association", 5));
    cr_expect_eq(second.get_future().get(), "text");
}
