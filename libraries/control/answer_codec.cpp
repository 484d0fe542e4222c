#include <control/answer_codec.hpp>

namespace cairnhead::control_codec
{

namespace
{

kj::StringPtr text_of(std::string const& text)
{
    return {text.c_str(), text.size()};
}

std::string read_text(capnp::Text::Reader text)
{
    return {text.begin(), text.size()};
}

template <typename Enumeration, typename Raw>
Enumeration checked(Raw raw, Enumeration last)
{
    auto const value = static_cast<std::uint16_t>(raw);
    if (value > static_cast<std::uint16_t>(last))
        throw malformed_answer();
    return static_cast<Enumeration>(value);
}

/// Zero stands for an absent address.
template <typename Id>
std::uint32_t number_of(std::optional<Id> const& id)
{
    return id ? id->value() : 0;
}

template <typename Id>
std::optional<Id> read_id(std::uint32_t number)
{
    if (number == 0)
        return std::nullopt;
    return Id(number);
}

transport_protocol read_protocol(std::uint8_t number)
{
    auto const protocol = static_cast<transport_protocol>(number);
    if (protocol != transport_protocol::tcp &&
        protocol != transport_protocol::udp)
        throw malformed_answer();
    return protocol;
}

/// Below zero stands for an absent length of time.
std::int64_t number_of(std::optional<std::chrono::milliseconds> const& length)
{
    return length ? length->count() : -1;
}

std::optional<std::chrono::milliseconds> read_length(std::int64_t number)
{
    if (number < 0)
        return std::nullopt;
    return std::chrono::milliseconds(number);
}

void write(rating_answer const& from, control_schema::Rating::Builder to)
{
    to.setRelativePermille(from.relative_permille);
    to.setShortPermille(from.short_permille);
    to.setWorkPermille(from.work_permille);
    to.setIsEjected(from.is_ejected);
    to.setInForceFor(from.in_force_for.count());
}

rating_answer read(control_schema::Rating::Reader from)
{
    return {
        .relative_permille = from.getRelativePermille(),
        .short_permille = from.getShortPermille(),
        .work_permille = from.getWorkPermille(),
        .is_ejected = from.getIsEjected(),
        .in_force_for = std::chrono::milliseconds(from.getInForceFor())};
}

void write(belief_answer const& from, control_schema::Belief::Builder to)
{
    bool const is_ejected = from.verdict == shown_verdict::ejected;
    to.setVerdict(
        is_ejected ? control_schema::Verdict::AVOIDED
                   : static_cast<control_schema::Verdict>(from.verdict));
    to.setIsEjected(is_ejected);
    to.setLoadPermille(from.load_permille);
    to.setUnanswered(from.unanswered);
    to.setAnsweredAgo(number_of(from.answered_ago));
    to.setSilentFor(number_of(from.silent_for));
    to.setAvoidedFor(number_of(from.avoided_for));
    to.setMissingFor(number_of(from.missing_for));
    if (from.rating)
        write(*from.rating, to.initRating());
}

belief_answer read(control_schema::Belief::Reader from)
{
    auto const verdict = checked(from.getVerdict(), shown_verdict::cold);
    std::optional<rating_answer> rating;
    if (from.hasRating())
        rating = read(from.getRating());
    return {
        .verdict = from.getIsEjected() ? shown_verdict::ejected : verdict,
        .load_permille = from.getLoadPermille(),
        .unanswered = from.getUnanswered(),
        .answered_ago = read_length(from.getAnsweredAgo()),
        .silent_for = read_length(from.getSilentFor()),
        .avoided_for = read_length(from.getAvoidedFor()),
        .missing_for = read_length(from.getMissingFor()),
        .rating = rating};
}

void write(packet_totals const& from, control_schema::PacketTotals::Builder to)
{
    to.setToUpstream(from.to_upstream);
    to.setToPeer(from.to_peer);
    to.setDropped(from.dropped);
    to.setRefused(from.refused);
}

packet_totals read(control_schema::PacketTotals::Reader from)
{
    return {
        .to_upstream = from.getToUpstream(),
        .to_peer = from.getToPeer(),
        .dropped = from.getDropped(),
        .refused = from.getRefused()};
}

} // namespace

char const* malformed_answer::what() const noexcept
{
    return "the answer holds a value that this release does not know";
}

void write(
    document_answer const& from, control_schema::DocumentStamp::Builder to)
{
    to.setName(text_of(from.name));
    to.setVersion(from.version.value());
    to.setAgeMilliseconds(number_of(from.age));
}

document_answer read(control_schema::DocumentStamp::Reader from)
{
    return {
        .name = read_text(from.getName()),
        .version = document_version(from.getVersion()),
        .age = read_length(from.getAgeMilliseconds())};
}

void write(endpoint const& from, control_schema::Endpoint::Builder to)
{
    to.setAddress(from.address.value());
    to.setPort(from.port);
    to.setProtocol(static_cast<std::uint8_t>(from.protocol));
}

endpoint read(control_schema::Endpoint::Reader from)
{
    return {
        .address = ipv4_address(from.getAddress()),
        .port = from.getPort(),
        .protocol = read_protocol(from.getProtocol())};
}

void write(status_answer const& from, control_schema::Status::Builder to)
{
    to.setVm(from.vm.value());
    to.setFailureDomain(text_of(from.failure_domain));
    to.setState(static_cast<control_schema::VmState>(from.state));
    to.setUptimeSeconds(from.uptime_seconds);
    to.setPins(from.pins);
    to.setMembersAlive(from.members_alive);
    to.setMembersSuspect(from.members_suspect);
    to.setMembersDead(from.members_dead);
    write_list(
        from.documents,
        to.initDocuments(static_cast<unsigned>(from.documents.size())));
    to.setDocumentsGeneration(from.documents_generation);
    to.setIsReader(from.is_reader);
    write(from.packets, to.initPackets());
    auto domains = to.initEvacuatedDomains(
        static_cast<unsigned>(from.evacuated_domains.size()));
    unsigned index = 0;
    for (std::string const& domain : from.evacuated_domains)
        domains.set(index++, text_of(domain));
}

status_answer read(control_schema::Status::Reader from)
{
    std::vector<std::string> evacuated_domains;
    for (auto const domain : from.getEvacuatedDomains())
        evacuated_domains.push_back(read_text(domain));
    return {
        .vm = vm_id(from.getVm()),
        .failure_domain = read_text(from.getFailureDomain()),
        .state = checked(from.getState(), vm_state::view_expired),
        .uptime_seconds = from.getUptimeSeconds(),
        .pins = from.getPins(),
        .members_alive = from.getMembersAlive(),
        .members_suspect = from.getMembersSuspect(),
        .members_dead = from.getMembersDead(),
        .documents = read_list<document_answer>(from.getDocuments()),
        .documents_generation = from.getDocumentsGeneration(),
        .is_reader = from.getIsReader(),
        .packets = read(from.getPackets()),
        .evacuated_domains = std::move(evacuated_domains)};
}

void write(member_answer const& from, control_schema::Member::Builder to)
{
    to.setVm(from.vm.value());
    to.setFailureDomain(text_of(from.failure_domain));
    to.setIncarnation(from.life.value());
    to.setStatus(static_cast<control_schema::MemberStatus>(from.status));
}

member_answer read(control_schema::Member::Reader from)
{
    return {
        .vm = vm_id(from.getVm()),
        .failure_domain = read_text(from.getFailureDomain()),
        .life = incarnation(from.getIncarnation()),
        .status = checked(from.getStatus(), member_status::dead)};
}

void write(service_answer const& from, control_schema::Service::Builder to)
{
    to.setName(text_of(from.name));
    write(from.address, to.initAddress());
    to.setTraffic(static_cast<control_schema::FlowClass>(from.traffic));
    to.setPrefer(static_cast<control_schema::Preference>(from.prefer));
    to.setRefusal(static_cast<control_schema::Refusal>(from.refusal));
    to.setIsIdempotent(from.is_idempotent);
    to.setUpstreams(from.upstreams);
}

service_answer read(control_schema::Service::Reader from)
{
    return {
        .name = read_text(from.getName()),
        .address = read(from.getAddress()),
        .traffic = checked(from.getTraffic(), flow_class::upload),
        .prefer = checked(from.getPrefer(), placement_preference::balance),
        .refusal = checked(from.getRefusal(), refusal_style::http_503),
        .is_idempotent = from.getIsIdempotent(),
        .upstreams = from.getUpstreams()};
}

void write(upstream_answer const& from, control_schema::Upstream::Builder to)
{
    to.setId(from.id.value());
    to.setName(text_of(from.name));
    to.setFailureDomain(text_of(from.failure_domain));
    to.setFlows(from.flows);
    to.setCondition(static_cast<control_schema::Condition>(from.condition));
    to.setReportedLoadPermille(from.reported_load_permille);
    to.setIsEjected(from.is_ejected);
    to.setIsCold(from.is_cold);
    to.setSlots(from.slots);
    if (from.belief)
        write(*from.belief, to.initBelief());
}

upstream_answer read(control_schema::Upstream::Reader from)
{
    std::optional<belief_answer> belief;
    if (from.hasBelief())
        belief = read(from.getBelief());
    return {
        .id = upstream_id(from.getId()),
        .name = read_text(from.getName()),
        .failure_domain = read_text(from.getFailureDomain()),
        .flows = from.getFlows(),
        .condition = checked(from.getCondition(), upstream_condition::failed),
        .reported_load_permille = from.getReportedLoadPermille(),
        .is_ejected = from.getIsEjected(),
        .is_cold = from.getIsCold(),
        .slots = from.getSlots(),
        .belief = belief};
}

void write(explain_answer const& from, control_schema::Explanation::Builder to)
{
    to.setService(text_of(from.service));
    to.setOwner(number_of(from.owner));
    to.setBackup(number_of(from.backup));
    to.setPinned(number_of(from.pinned));
    to.setRule(static_cast<control_schema::Rule>(from.rule));
    to.setPredicted(number_of(from.predicted));
    to.setDocumentsGeneration(from.documents_generation);
    to.setPool(text_of(from.pool));
    write_list(
        from.candidates,
        to.initCandidates(static_cast<unsigned>(from.candidates.size())));
    to.setWouldGet(number_of(from.would_get));
    write_list(
        from.documents,
        to.initDocuments(static_cast<unsigned>(from.documents.size())));
}

explain_answer read(control_schema::Explanation::Reader from)
{
    return {
        .service = read_text(from.getService()),
        .owner = read_id<vm_id>(from.getOwner()),
        .backup = read_id<vm_id>(from.getBackup()),
        .pinned = read_id<upstream_id>(from.getPinned()),
        .rule = checked(from.getRule(), explained_rule::unknown_destination),
        .predicted = read_id<upstream_id>(from.getPredicted()),
        .documents_generation = from.getDocumentsGeneration(),
        .pool = read_text(from.getPool()),
        .candidates = read_list<upstream_answer>(from.getCandidates()),
        .would_get = read_id<upstream_id>(from.getWouldGet()),
        .documents = read_list<document_answer>(from.getDocuments())};
}

} // namespace cairnhead::control_codec
