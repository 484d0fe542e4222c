#include <control/answer_codec.hpp>
#include <control/control_client.hpp>
#include <control/rpc_channel.hpp>

#include <utility>

namespace cairnhead
{

namespace
{

using namespace control_codec;
using control_schema::Control;

constexpr rpc_limits limits{
    .received_bytes = std::size_t{8} << 20U,
    .sent_bytes = std::size_t{64} << 10U};

control_failure failure_of(kj::Exception const& exception)
{
    if (exception.getType() == kj::Exception::Type::DISCONNECTED)
        return control_failure::unreachable;
    return control_failure::malformed_answer;
}

/// Connects, asks and reads the answer, and keeps the channel until then.
template <typename Answer, typename Ask>
kj::Promise<Answer> ask_over(kj::Own<kj::AsyncIoStream> stream, Ask ask)
{
    auto channel = kj::heap<rpc_channel>(kj::mv(stream), limits);
    auto daemon = channel->bootstrap().castAs<Control>();
    kj::Promise<Answer> answer = ask(daemon);
    return answer.attach(kj::mv(daemon), kj::mv(channel));
}

} // namespace

control_client::control_client(
    ipv4_address daemon_address,
    std::uint16_t daemon_port,
    duration call_timeout)
    : address(daemon_address), port(daemon_port), timeout(call_timeout)
{
}

template <typename Answer, typename Ask>
Answer control_client::call(Ask ask) const
{
    try
    {
        auto io = kj::setupAsyncIo();
        auto& timer = io.provider->getTimer();
        auto const deadline =
            timer.now() + this->timeout.count() * kj::NANOSECONDS;
        auto target =
            make_address(io.provider->getNetwork(), this->address, this->port);
        using optional_answer = std::optional<Answer>;
        auto answer = target->connect().then(
            [&](kj::Own<kj::AsyncIoStream>&& stream)
            {
                return ask_over<Answer>(kj::mv(stream), ask);
            });
        auto const in_time =
            answer
                .then(
                    [](Answer&& told)
                    {
                        return optional_answer(std::move(told));
                    })
                .exclusiveJoin(timer.atTime(deadline).then(
                    []
                    {
                        return optional_answer();
                    }))
                .wait(io.waitScope);
        if (!in_time)
            throw control_unreachable(control_failure::timed_out);
        return *in_time;
    }
    catch (kj::Exception const& exception)
    {
        throw control_unreachable(failure_of(exception));
    }
}

status_answer control_client::status() const
{
    return this->call<status_answer>(
        [](Control::Client& daemon)
        {
            return daemon.statusRequest().send().then(
                [](auto&& answer)
                {
                    return read(answer.getStatus());
                });
        });
}

std::vector<member_answer> control_client::members() const
{
    using answers = std::vector<member_answer>;
    return this->call<answers>(
        [](Control::Client& daemon)
        {
            return daemon.membersRequest().send().then(
                [](auto&& answer)
                {
                    return read_list<member_answer>(answer.getMembers());
                });
        });
}

std::vector<service_answer> control_client::services() const
{
    using answers = std::vector<service_answer>;
    return this->call<answers>(
        [](Control::Client& daemon)
        {
            return daemon.servicesRequest().send().then(
                [](auto&& answer)
                {
                    return read_list<service_answer>(answer.getServices());
                });
        });
}

std::vector<upstream_answer> control_client::upstreams() const
{
    using answers = std::vector<upstream_answer>;
    return this->call<answers>(
        [](Control::Client& daemon)
        {
            return daemon.upstreamsRequest().send().then(
                [](auto&& answer)
                {
                    return read_list<upstream_answer>(answer.getUpstreams());
                });
        });
}

explain_answer control_client::explain(explain_question const& question) const
{
    return this->call<explain_answer>(
        [&](Control::Client& daemon)
        {
            auto request = daemon.explainRequest();
            write(question.source, request.initSource());
            write(question.destination, request.initDestination());
            return request.send().then(
                [](auto&& answer)
                {
                    return read(answer.getExplanation());
                });
        });
}

} // namespace cairnhead
