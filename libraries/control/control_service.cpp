#include <control/answer_codec.hpp>
#include <control/control_service.hpp>
#include <control/served_reply.hpp>

#include <utility>

namespace cairnhead
{

namespace
{

using namespace control_codec;

template <typename Entries>
unsigned size_of(Entries const& entries)
{
    return static_cast<unsigned>(entries.size());
}

/// Asks the source, and writes its answer when it comes.
template <typename Answer, typename Write>
kj::Promise<void> serve(answered_by<Answer> const& ask, Write write)
{
    auto served = served_reply<Answer>::make();
    ask(std::move(served.reply));
    return served.answer.then(kj::mv(write));
}

} // namespace

control_service::control_service(control_source answers)
    : source(std::move(answers))
{
}

kj::Promise<void> control_service::status(StatusContext context)
{
    return serve(
        this->source.status,
        [context](status_answer&& found) mutable
        {
            write(found, context.getResults().initStatus());
        });
}

kj::Promise<void> control_service::members(MembersContext context)
{
    return serve(
        this->source.members,
        [context](std::vector<member_answer>&& found) mutable
        {
            write_list(found, context.getResults().initMembers(size_of(found)));
        });
}

kj::Promise<void> control_service::services(ServicesContext context)
{
    return serve(
        this->source.services,
        [context](std::vector<service_answer>&& found) mutable
        {
            write_list(
                found, context.getResults().initServices(size_of(found)));
        });
}

kj::Promise<void> control_service::upstreams(UpstreamsContext context)
{
    return serve(
        this->source.upstreams,
        [context](std::vector<upstream_answer>&& found) mutable
        {
            write_list(
                found, context.getResults().initUpstreams(size_of(found)));
        });
}

kj::Promise<void> control_service::explain(ExplainContext context)
{
    auto const asked = context.getParams();
    explain_question const question{
        .source = read(asked.getSource()),
        .destination = read(asked.getDestination())};
    auto served = served_reply<explain_answer>::make();
    this->source.explain(question, std::move(served.reply));
    return served.answer.then(
        [context](explain_answer&& answer) mutable
        {
            write(answer, context.getResults().initExplanation());
        });
}

} // namespace cairnhead
