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

} // namespace

control_service::control_service(control_source answers)
    : source(std::move(answers))
{
}

kj::Promise<void> control_service::status(StatusContext context)
{
    write(this->source.status(), context.getResults().initStatus());
    return kj::READY_NOW;
}

kj::Promise<void> control_service::members(MembersContext context)
{
    auto const found = this->source.members();
    write_list(found, context.getResults().initMembers(size_of(found)));
    return kj::READY_NOW;
}

kj::Promise<void> control_service::services(ServicesContext context)
{
    auto const found = this->source.services();
    write_list(found, context.getResults().initServices(size_of(found)));
    return kj::READY_NOW;
}

kj::Promise<void> control_service::upstreams(UpstreamsContext context)
{
    auto const found = this->source.upstreams();
    write_list(found, context.getResults().initUpstreams(size_of(found)));
    return kj::READY_NOW;
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
