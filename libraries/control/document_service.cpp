#include <control/document_service.hpp>
#include <control/served_reply.hpp>

#include <algorithm>
#include <utility>

namespace cairnhead
{

namespace
{

using outcome = control_schema::FetchOutcome;
using context = capnp::CallContext<
    control_schema::Documents::FetchParams,
    control_schema::Documents::FetchResults>;

kj::ArrayPtr<kj::byte const> bytes_of(std::string const& text)
{
    return kj::StringPtr(text.c_str(), text.size()).asBytes();
}

/// The question's name is a view of the message.
std::optional<document_question>
read_question(control_schema::Documents::FetchParams::Reader asked)
{
    document_question question;
    auto const nonce = asked.getNonce();
    if (nonce.size() != question.nonce.size())
        return std::nullopt;
    std::ranges::copy(nonce, question.nonce.begin());
    auto const name = asked.getName();
    question.name = {name.begin(), name.size()};
    question.least = document_version(asked.getLeastVersion());
    question.held = document_version(asked.getHeldVersion());
    return question;
}

bool is_from_peer(
    authenticator const& keys,
    document_question const& question,
    capnp::Data::Reader given)
{
    return is_sealed(keys, question, {given.begin(), given.size()});
}

outcome
outcome_of(std::optional<document_content> const& held, document_version least)
{
    if (!held || held->text == nullptr || held->version < least)
        return outcome::NOT_HELD;
    if (held->text->size() > maximum_document_bytes)
        return outcome::TOO_LARGE;
    return outcome::FOUND;
}

void write_found(
    authenticator const& keys,
    document_statement const& statement,
    document_content const& held,
    control_schema::Documents::FetchResults::Builder results)
{
    results.setVersion(held.version.value());
    results.setText(bytes_of(*held.text));
    auto const sealed = seal(keys, statement);
    results.setSeal(kj::arrayPtr(sealed.data(), sealed.size()));
}

void answer(
    authenticator const& keys,
    context call,
    std::optional<document_content> const& held)
{
    auto const question = read_question(call.getParams());
    auto const result = outcome_of(held, question->least);
    auto results = call.getResults();
    results.setOutcome(result);
    if (result != outcome::FOUND)
        return;
    document_statement const statement{
        .question = *question, .version = held->version, .text = *held->text};
    write_found(keys, statement, *held, results);
}

} // namespace

document_service::document_service(
    document_source documents, authenticator const& accepted)
    : source(std::move(documents)), keys(accepted)
{
}

kj::Promise<void> document_service::fetch(FetchContext context)
{
    auto const asked = context.getParams();
    auto const question = read_question(asked);
    if (!question || !is_from_peer(this->keys, *question, asked.getSeal()))
    {
        context.getResults().setOutcome(outcome::NOT_AUTHENTIC);
        return kj::READY_NOW;
    }
    auto served = served_reply<std::optional<document_content>>::make();
    this->source(
        std::string(question->name), question->held, std::move(served.reply));
    return served.answer.then(
        [this, context](std::optional<document_content>&& held) mutable
        {
            answer(this->keys, context, held);
        });
}

} // namespace cairnhead
