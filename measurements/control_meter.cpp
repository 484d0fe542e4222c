#include "control_meter.hpp"

#include "processor_clock.hpp"

#include <wire/codec.hpp>

#include <algorithm>
#include <string_view>

namespace cairnhead::measure
{

namespace
{

/// IPv4 header without options, and UDP header.
constexpr std::size_t ip_and_udp_bytes = 28;
/// An HTTP request with its answer's headers, as libcurl and a plain server
/// send them; an estimate.
constexpr std::size_t http_bytes = 400;
/// JSON around a stamp's name and version, and around a VM's address.
constexpr std::size_t stamp_json_bytes = 32;
constexpr std::size_t vm_json_bytes = 14;

authenticator make_keys()
{
    std::vector<std::uint8_t> const secret(authenticator::secret_size, 0x11);
    authenticator::key const only{1, secret};
    return authenticator(std::span(&only, 1));
}

} // namespace

control_meter::control_meter() : keys(make_keys()), overhead(clock_overhead())
{
}

void control_meter::apply(
    vm_id vm, reducer& decides, event const& event, effect_list& effects)
{
    if (std::holds_alternative<packet_arrived>(event.body))
        return decides.apply(event, effects);
    duration const begin = thread_processor_time();
    decides.apply(event, effects);
    duration const spent = thread_processor_time() - begin - this->overhead;
    this->counted.reducer_time += std::max(spent, duration());
    ++this->counted.control_events;
    this->note_received(vm, event);
    for (effect const& item : effects)
    {
        if (auto const* sent = std::get_if<send_control>(&item))
            this->note_sent(vm, *sent);
        if (std::holds_alternative<probe_upstream>(item))
            ++this->counted.upstream_probes;
    }
    this->note_in_force(vm, decides, event.now);
}

void control_meter::reset()
{
    this->counted = {};
}

control_totals const& control_meter::totals() const
{
    return this->counted;
}

void control_meter::note_publication(
    time_point at, document_version version, std::set<vm_id> const& vms)
{
    this->waiting.push_back({at, version, vms});
}

void control_meter::forget(vm_id vm)
{
    this->generations.erase(vm);
    for (publication& item : this->waiting)
        item.missing.erase(vm);
    this->drop_finished();
}

std::vector<duration> const& control_meter::latencies() const
{
    return this->finished;
}

std::size_t control_meter::unfinished() const
{
    return this->waiting.size();
}

void control_meter::clear_publications()
{
    this->waiting.clear();
    this->finished.clear();
}

void control_meter::note_received(vm_id vm, event const& event)
{
    std::visit(
        [&](auto const& body)
        {
            this->note_received(vm, body);
        },
        event.body);
}

void control_meter::note_received(vm_id vm, document_fetched const& body)
{
    this->counted.by_vm[vm].received_bytes += body.text.size();
    if (!body.source)
    {
        this->counted.platform_bytes += body.text.size() + http_bytes;
        this->counted.by_vm[vm].received_bytes += http_bytes;
        return;
    }
    ++this->counted.peer_fetches;
    this->counted.peer_document_bytes += body.text.size();
    this->counted.by_vm[*body.source].sent_bytes += body.text.size();
}

void control_meter::note_received(vm_id vm, platform_listed const& body)
{
    std::size_t bytes = http_bytes + body.vms.size() * vm_json_bytes;
    for (document_stamp const& stamp : body.documents)
        bytes += stamp.name.size() + stamp_json_bytes;
    ++this->counted.platform_answers;
    this->counted.platform_bytes += bytes;
    this->counted.by_vm[vm].received_bytes += bytes;
}

template <typename Other>
void control_meter::note_received(vm_id, Other const&)
{
    // Control datagrams are counted where they are sent; the rest costs no
    // control traffic.
}

void control_meter::note_sent(vm_id vm, send_control const& body)
{
    std::size_t const bytes =
        this->encode_and_decode(vm, body.body) + ip_and_udp_bytes;
    ++this->counted.datagrams;
    this->counted.datagram_bytes += bytes;
    this->counted.bytes_by_kind[body.body.index()] += bytes;
    this->counted.by_vm[vm].sent_bytes += bytes;
    this->counted.by_vm[body.target].received_bytes += bytes;
}

std::size_t control_meter::encode_and_decode(vm_id vm, control_body const& body)
{
    control_message const message{vm, body};
    auto const kind = static_cast<std::uint8_t>(datagram_kind::control);
    duration const begin = thread_processor_time();
    this->datagram.assign(authenticator::prefix_size, 0);
    encode_control(message, this->datagram);
    this->datagram.resize(this->datagram.size() + authenticator::tag_size);
    this->keys.sign(this->datagram, kind);
    std::span<std::uint8_t const> const received(this->datagram);
    if (!this->keys.is_authentic(received))
        throw malformed_datagram(malformed_reason::not_authentic);
    std::size_t const payload_size =
        received.size() - authenticator::prefix_size - authenticator::tag_size;
    static_cast<void>(decode_control(
        received.subspan(authenticator::prefix_size, payload_size)));
    duration const spent = thread_processor_time() - begin - this->overhead;
    this->counted.codec_time += std::max(spent, duration());
    return this->datagram.size();
}

void control_meter::note_in_force(
    vm_id vm, reducer const& decides, time_point now)
{
    std::uint64_t const generation = decides.documents().generation();
    std::uint64_t& known = this->generations[vm];
    if (generation == known)
        return;
    known = generation;
    auto const held = decides.documents().find_document(watched_document);
    if (!held)
        return;
    for (publication& item : this->waiting)
    {
        if (item.version > held->version)
            continue;
        item.missing.erase(vm);
        if (item.missing.empty())
            this->finished.push_back(now - item.at);
    }
    this->drop_finished();
}

void control_meter::drop_finished()
{
    std::erase_if(
        this->waiting,
        [](publication const& item)
        {
            return item.missing.empty();
        });
}

} // namespace cairnhead::measure
