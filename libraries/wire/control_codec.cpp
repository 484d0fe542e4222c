#include <wire/codec.hpp>
#include <wire/codec_parts.hpp>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>
#include <peer.capnp.h>

#include <array>
#include <type_traits>

namespace cairnhead
{

namespace
{

using namespace wire_parts;

/// Words that a decoded message may take. Packing shrinks runs of zeros, so
/// a short datagram could otherwise claim megabytes.
constexpr std::size_t maximum_message_words = 2048;

/// Entries of one list: no honest sender fits more into a datagram, as each
/// entry takes at least this many bytes when its identifiers are not zero.
constexpr std::size_t minimum_entry_bytes = 6;
constexpr std::size_t maximum_entries =
    maximum_control_bytes / minimum_entry_bytes;

/// Shares are told in thousandths.
constexpr std::uint16_t whole_permille = 1000;

/// Nesting below the root that the schema needs, with one to spare.
constexpr int maximum_nesting = 6;

using scratch_words = std::array<capnp::word, maximum_message_words>;

// Writing -------------------------------------------------------------------

void write(member_update const& from, peer_schema::MemberUpdate::Builder to)
{
    to.setVm(from.vm.value());
    to.setDomain(from.domain.value());
    to.setLife(from.life.value());
    to.setStatus(static_cast<peer_schema::MemberStatus>(from.status));
}

void write(pin_claim const& from, peer_schema::PinClaim::Builder to)
{
    to.setFlow(from.flow.value());
    to.setService(from.service.value());
    to.setUpstream(from.upstream.value());
    to.setState(static_cast<peer_schema::PinState>(from.state));
}

void write(document_stamp const& from, peer_schema::DocumentStamp::Builder to)
{
    to.setName(kj::StringPtr(from.name.c_str(), from.name.size()));
    to.setVersion(from.version.value());
}

void write(upstream_report const& from, peer_schema::UpstreamReport::Builder to)
{
    to.setUpstream(from.upstream.value());
    to.setAgeMilliseconds(from.age_milliseconds);
    to.setLoadPermille(from.load_permille);
    to.setCondition(
        static_cast<peer_schema::UpstreamCondition>(from.condition));
}

void write(
    request_observation const& from,
    peer_schema::RequestObservation::Builder to)
{
    to.setUpstream(from.upstream.value());
    to.setAnswerMilliseconds(from.answer_milliseconds);
    to.setRelativePermille(from.relative_permille);
    to.setOutcome(static_cast<peer_schema::RequestOutcome>(from.outcome));
}

void write(
    announced_rating const& from, peer_schema::AnnouncedRating::Builder to)
{
    to.setUpstream(from.upstream.value());
    to.setRelativePermille(from.relative_permille);
    to.setShortPermille(from.short_permille);
    to.setWorkPermille(from.work_permille);
    to.setLifetimeMilliseconds(from.lifetime_milliseconds);
    to.setIsEjected(from.is_ejected);
}

template <typename Entries, typename ListBuilder>
void write_list(Entries const& entries, ListBuilder list)
{
    unsigned index = 0;
    for (auto const& entry : entries)
        write(entry, list[index++]);
}

/// Writes the body of a control message into the union of the schema.
class body_writer
{
public:
    explicit body_writer(peer_schema::ControlMessage::Builder message)
        : to(message)
    {
    }

    void operator()(ping const& body)
    {
        auto part = this->to.initPing();
        part.setSequence(body.sequence);
        part.setDocumentsDigest(body.documents_digest);
        write_list(body.updates, part.initUpdates(size_of(body.updates)));
    }

    void operator()(ping_answer const& body)
    {
        auto part = this->to.initPingAnswer();
        part.setSequence(body.sequence);
        part.setSubject(body.subject.value());
        part.setDocumentsDigest(body.documents_digest);
        write_list(body.updates, part.initUpdates(size_of(body.updates)));
    }

    void operator()(ping_request const& body)
    {
        auto part = this->to.initPingRequest();
        part.setSequence(body.sequence);
        part.setTarget(body.target.value());
        write_list(body.updates, part.initUpdates(size_of(body.updates)));
    }

    void operator()(member_listing const& body)
    {
        auto part = this->to.initMemberListing();
        part.setKind(static_cast<peer_schema::ListingKind>(body.kind));
        write_list(body.members, part.initMembers(size_of(body.members)));
    }

    void operator()(document_listing const& body)
    {
        auto part = this->to.initDocumentListing();
        part.setKind(static_cast<peer_schema::ListingKind>(body.kind));
        write_list(body.documents, part.initDocuments(size_of(body.documents)));
        part.setCompleteUpTo(body.complete_up_to.value());
    }

    void operator()(pin_batch const& body)
    {
        write_list(body.pins, this->to.initPinBatch(size_of(body.pins)));
    }

    void operator()(upstream_report_listing const& body)
    {
        write_list(
            body.reports, this->to.initUpstreamReports(size_of(body.reports)));
    }

    void operator()(registry_change const& body)
    {
        auto part = this->to.initRegistryChange();
        part.setDocument(
            static_cast<peer_schema::RegistryDocument>(body.document));
        part.setVersion(body.version.value());
        part.setOrigin(body.origin.value());
        part.setText(
            kj::arrayPtr(body.text.data(), body.text.size()).asBytes());
    }

    void operator()(reading_heartbeat const& body)
    {
        auto part = this->to.initReadingHeartbeat();
        part.setDocumentsDigest(body.documents_digest);
        part.setCompleteUpTo(body.complete_up_to.value());
    }

    void operator()(reading_attempt const&)
    {
        this->to.initReadingAttempt();
    }

    void operator()(flow_lookup const& body)
    {
        auto part = this->to.initFlowLookup();
        part.setFlow(body.flow.value());
        part.setNamed(body.tag.value());
        part.setAcknowledged(body.acknowledged);
    }

    void operator()(flow_binding const& body)
    {
        auto part = this->to.initFlowBinding();
        part.setFlow(body.flow.value());
        part.setUpstream(body.upstream.value());
        part.setAcknowledged(body.acknowledged);
    }

    void operator()(upstream_observation_listing const& body)
    {
        auto part = this->to.initUpstreamObservations();
        part.setUsualSampledPermille(body.usual_sampled_permille);
        part.setNotableSampledPermille(body.notable_sampled_permille);
        write_list(
            body.observations,
            part.initObservations(size_of(body.observations)));
    }

    void operator()(upstream_rating_listing const& body)
    {
        auto part = this->to.initUpstreamRatings();
        part.setOrigin(body.origin.value());
        part.setSequence(body.sequence);
        write_list(body.ratings, part.initRatings(size_of(body.ratings)));
    }

    void operator()(join_request const& body)
    {
        auto part = this->to.initJoinRequest();
        part.setDomain(body.domain.value());
        part.setIsReferred(body.is_referred);
        part.setAttempt(body.attempt);
        part.setHasDocuments(body.has_documents);
    }

    void operator()(join_referral const& body)
    {
        auto part = this->to.initJoinReferral();
        part.setIsToRead(body.is_to_read);
        auto holders = part.initHolders(size_of(body.holders));
        unsigned index = 0;
        for (vm_id const holder : body.holders)
            holders.set(index++, holder.value());
    }

private:
    template <typename Entries>
    static unsigned size_of(Entries const& entries)
    {
        return static_cast<unsigned>(entries.size());
    }

    peer_schema::ControlMessage::Builder to;
};

/// Appends what it is given to a vector of the caller.
class vector_output final : public kj::OutputStream
{
public:
    explicit vector_output(std::vector<std::uint8_t>& target) : out(target)
    {
    }

    void write(void const* buffer, std::size_t size) override
    {
        auto const* const bytes = static_cast<std::uint8_t const*>(buffer);
        this->out.insert(this->out.end(), bytes, bytes + size);
    }

private:
    std::vector<std::uint8_t>& out;
};

// Reading -------------------------------------------------------------------

member_update read(peer_schema::MemberUpdate::Reader from)
{
    return {
        .vm = vm_id(from.getVm()),
        .domain = failure_domain_id(from.getDomain()),
        .life = incarnation(from.getLife()),
        .status = checked_enum(from.getStatus(), member_status::dead)};
}

pin_claim read(peer_schema::PinClaim::Reader from)
{
    return {
        .flow = flow_id(from.getFlow()),
        .service = service_id(from.getService()),
        .upstream = upstream_id(from.getUpstream()),
        .state = checked_enum(from.getState(), pin_state::closing)};
}

document_stamp read(peer_schema::DocumentStamp::Reader from)
{
    auto const name = from.getName();
    return {
        .name = std::string(name.begin(), name.size()),
        .version = document_version(from.getVersion())};
}

upstream_report read(peer_schema::UpstreamReport::Reader from)
{
    return {
        .upstream = upstream_id(from.getUpstream()),
        .condition =
            checked_enum(from.getCondition(), upstream_condition::failed),
        .load_permille = from.getLoadPermille(),
        .age_milliseconds = from.getAgeMilliseconds()};
}

/// Zero names no upstream.
upstream_tag read_named_upstream(std::uint32_t tag)
{
    if (tag == 0)
        throw malformed_datagram(malformed_reason::out_of_range);
    return upstream_tag(tag);
}

std::uint16_t read_share(std::uint16_t permille)
{
    if (permille > whole_permille)
        throw malformed_datagram(malformed_reason::out_of_range);
    return permille;
}

/// Whoever sends observations sends a share of them that is not zero.
std::uint16_t read_sampled_share(std::uint16_t permille)
{
    if (permille == 0)
        throw malformed_datagram(malformed_reason::out_of_range);
    return read_share(permille);
}

request_observation read(peer_schema::RequestObservation::Reader from)
{
    return {
        .upstream = read_named_upstream(from.getUpstream()),
        .outcome = checked_enum(from.getOutcome(), request_outcome::unanswered),
        .relative_permille = from.getRelativePermille(),
        .answer_milliseconds = from.getAnswerMilliseconds()};
}

announced_rating read(peer_schema::AnnouncedRating::Reader from)
{
    return {
        .upstream = read_named_upstream(from.getUpstream()),
        .relative_permille = from.getRelativePermille(),
        .short_permille = read_share(from.getShortPermille()),
        .work_permille = from.getWorkPermille(),
        .is_ejected = from.getIsEjected(),
        .lifetime_milliseconds = from.getLifetimeMilliseconds()};
}

listing_kind read(peer_schema::ListingKind from)
{
    return checked_enum(from, listing_kind::answer);
}

template <typename Entry, typename ListReader>
std::vector<Entry> read_list(ListReader list)
{
    if (list.size() > maximum_entries)
        throw malformed_datagram(malformed_reason::too_large);
    std::vector<Entry> entries;
    entries.reserve(list.size());
    for (auto const entry : list)
        entries.push_back(read(entry));
    return entries;
}

ping read(peer_schema::Ping::Reader from)
{
    return {
        .sequence = from.getSequence(),
        .documents_digest = from.getDocumentsDigest(),
        .updates = read_list<member_update>(from.getUpdates())};
}

ping_answer read(peer_schema::PingAnswer::Reader from)
{
    return {
        .sequence = from.getSequence(),
        .subject = vm_id(from.getSubject()),
        .documents_digest = from.getDocumentsDigest(),
        .updates = read_list<member_update>(from.getUpdates())};
}

ping_request read(peer_schema::PingRequest::Reader from)
{
    return {
        .sequence = from.getSequence(),
        .target = vm_id(from.getTarget()),
        .updates = read_list<member_update>(from.getUpdates())};
}

member_listing read(peer_schema::MemberListing::Reader from)
{
    return {
        .kind = read(from.getKind()),
        .members = read_list<member_update>(from.getMembers())};
}

document_listing read(peer_schema::DocumentListing::Reader from)
{
    return {
        .kind = read(from.getKind()),
        .documents = read_list<document_stamp>(from.getDocuments()),
        .complete_up_to = platform_index(from.getCompleteUpTo())};
}

reading_heartbeat read(peer_schema::ReadingHeartbeat::Reader from)
{
    return {
        .documents_digest = from.getDocumentsDigest(),
        .complete_up_to = platform_index(from.getCompleteUpTo())};
}

join_request read(peer_schema::JoinRequest::Reader from)
{
    return {
        .domain = failure_domain_id(from.getDomain()),
        .has_documents = from.getHasDocuments(),
        .is_referred = from.getIsReferred(),
        .attempt = from.getAttempt()};
}

flow_lookup read(peer_schema::FlowLookup::Reader from)
{
    return {
        .flow = flow_id(from.getFlow()),
        .tag = upstream_tag(from.getNamed()),
        .acknowledged = from.getAcknowledged()};
}

flow_binding read(peer_schema::FlowBinding::Reader from)
{
    return {
        .flow = flow_id(from.getFlow()),
        .upstream = upstream_tag(from.getUpstream()),
        .acknowledged = from.getAcknowledged()};
}

upstream_observation_listing
read(peer_schema::UpstreamObservationListing::Reader from)
{
    return {
        .observations = read_list<request_observation>(from.getObservations()),
        .usual_sampled_permille =
            read_sampled_share(from.getUsualSampledPermille()),
        .notable_sampled_permille =
            read_sampled_share(from.getNotableSampledPermille())};
}

upstream_rating_listing read(peer_schema::UpstreamRatingListing::Reader from)
{
    return {
        .origin = vm_id(from.getOrigin()),
        .sequence = from.getSequence(),
        .ratings = read_list<announced_rating>(from.getRatings())};
}

join_referral read(peer_schema::JoinReferral::Reader from)
{
    if (from.getHolders().size() > maximum_entries)
        throw malformed_datagram(malformed_reason::too_large);
    join_referral referral{.holders = {}, .is_to_read = from.getIsToRead()};
    for (std::uint32_t const holder : from.getHolders())
        referral.holders.push_back(vm_id(holder));
    return referral;
}

registry_change read(peer_schema::RegistryChange::Reader from)
{
    auto const text = from.getText().asChars();
    return {
        .document =
            checked_enum(from.getDocument(), registry_document::evacuations),
        .version = document_version(from.getVersion()),
        .origin = vm_id(from.getOrigin()),
        .text = std::string(text.begin(), text.size())};
}

control_body read_body(peer_schema::ControlMessage::Reader from)
{
    using kind = peer_schema::ControlMessage::Which;
    switch (from.which())
    {
    case kind::PING:
        return read(from.getPing());
    case kind::PING_ANSWER:
        return read(from.getPingAnswer());
    case kind::PING_REQUEST:
        return read(from.getPingRequest());
    case kind::MEMBER_LISTING:
        return read(from.getMemberListing());
    case kind::DOCUMENT_LISTING:
        return read(from.getDocumentListing());
    case kind::PIN_BATCH:
        return pin_batch{read_list<pin_claim>(from.getPinBatch())};
    case kind::UPSTREAM_REPORTS:
        return upstream_report_listing{
            read_list<upstream_report>(from.getUpstreamReports())};
    case kind::REGISTRY_CHANGE:
        return read(from.getRegistryChange());
    case kind::READING_HEARTBEAT:
        return read(from.getReadingHeartbeat());
    case kind::READING_ATTEMPT:
        return reading_attempt{};
    case kind::JOIN_REQUEST:
        return read(from.getJoinRequest());
    case kind::JOIN_REFERRAL:
        return read(from.getJoinReferral());
    case kind::FLOW_LOOKUP:
        return read(from.getFlowLookup());
    case kind::FLOW_BINDING:
        return read(from.getFlowBinding());
    case kind::UPSTREAM_OBSERVATIONS:
        return read(from.getUpstreamObservations());
    case kind::UPSTREAM_RATINGS:
        return read(from.getUpstreamRatings());
    }
    throw malformed_datagram(malformed_reason::unknown_kind);
}

control_message read_message(std::span<std::uint8_t const> bytes)
{
    kj::ArrayInputStream input(kj::arrayPtr(bytes.data(), bytes.size()));
    scratch_words scratch;
    capnp::PackedMessageReader reader(
        input,
        {.traversalLimitInWords = maximum_message_words,
         .nestingLimit = maximum_nesting},
        kj::arrayPtr(scratch.data(), scratch.size()));
    auto const root = reader.getRoot<peer_schema::ControlMessage>();
    return {.sender = vm_id(root.getSender()), .body = read_body(root)};
}

} // namespace

void encode_control(
    control_message const& message, std::vector<std::uint8_t>& out)
{
    scratch_words scratch{};
    capnp::MallocMessageBuilder builder(
        kj::arrayPtr(scratch.data(), scratch.size()));
    auto root = builder.initRoot<peer_schema::ControlMessage>();
    root.setSender(message.sender.value());
    std::visit(body_writer(root), message.body);
    vector_output output(out);
    capnp::writePackedMessage(output, builder);
}

control_message decode_control(std::span<std::uint8_t const> bytes)
{
    if (bytes.size() > maximum_control_bytes)
        throw malformed_datagram(malformed_reason::too_large);
    if (bytes.empty())
        throw malformed_datagram(malformed_reason::truncated);
    try
    {
        return read_message(bytes);
    }
    catch (kj::Exception const&)
    {
        throw malformed_datagram(malformed_reason::not_capnp);
    }
}

} // namespace cairnhead
