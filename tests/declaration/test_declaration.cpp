#include <base/hash.hpp>
#include <base/ipv4.hpp>
#include <declaration/declaration.hpp>
#include <yaml/yaml_reader.hpp>

#include "declaration/document_text.hpp"

#include <criterion/criterion.h>

namespace cairnhead
{

namespace
{

using kind = declaration_error_kind;

std::string const good_organisation = R"(organisation: association
services:
  listings:
    address: 198.51.100.1:8443
    protocol: tcp
    selector: app=listings,tier in (a,b)
    class: feed
    prefer: continuity
    idempotent: false
    refusal: http_503
    limits: {openings: 3000/s, flows: 28000}
upstreams:
  stirling-1:
    address: 127.0.16.1
    failure_domain: stirling
    labels: {app: listings, tier: a}
    slots: 2
    connections: 2000
    health_port: 8080
  perth-1:
    address: 127.0.16.2
    failure_domain: perth
    labels: {app: listings, tier: b, draining: soon}
)";

std::string const good_allotment = R"(organisations:
  association:
    addresses: [198.51.100.0/28]
    upstreams: [127.0.16.0/24, 127.0.17.9]
  brackenlea:
    addresses: [203.0.113.0/28]
    upstreams: [127.0.32.0/24]
)";

template <typename Parse>
std::vector<declaration_error>
errors_of(Parse const& parse, std::string_view text)
{
    try
    {
        (void)parse(text);
    }
    catch (declaration_rejected const& failure)
    {
        return {failure.errors().begin(), failure.errors().end()};
    }
    return {};
}

template <typename Parse, std::size_t Count>
void expect_errors(
    Parse const& parse,
    std::string const& good,
    bad_document<kind> const (&cases)[Count])
{
    for (bad_document<kind> const& item : cases)
    {
        std::string const text =
            replace_part(good, item.good_part, item.bad_part);
        auto const errors = errors_of(parse, text);
        cr_expect(
            has_error(errors, item.kind, item.line, item.column),
            "%s: %s at %u:%u", item.bad_part,
            errors.empty() ? "none" : to_text(errors[0].kind).data(),
            errors.empty() ? 0 : errors[0].line,
            errors.empty() ? 0 : errors[0].column);
    }
}

upstream_id id_of(std::string_view address)
{
    return upstream_id(parse_ipv4(address)->value());
}

} // namespace

Test(organisation, reads_a_service)
{
    auto const document = parse_organisation(good_organisation);
    service const& read = document.services.at(0).declared;
    cr_expect_eq(document.organisation, "association");
    cr_expect_eq(read.name, "association/listings");
    cr_expect(read.id == make_service_id("association", "listings"));
    cr_expect(read.address.address == *parse_ipv4("198.51.100.1"));
    cr_expect_eq(read.address.port, 8443);
    cr_expect(read.traffic == flow_class::feed);
    cr_expect(read.prefer == placement_preference::continuity);
    cr_expect(read.refusal == refusal_style::http_503);
    cr_expect_not(read.is_idempotent);
    cr_expect_eq(read.limits.openings_per_second, 3000);
    cr_expect_eq(read.limits.flows, 28000);
}

Test(organisation, reads_upstreams)
{
    auto const document = parse_organisation(good_organisation);
    upstream const& first = document.upstreams.at(0);
    upstream const& second = document.upstreams.at(1);
    cr_expect(first.id == id_of("127.0.16.1"));
    cr_expect(first.domain == make_failure_domain_id("stirling"));
    cr_expect(first.organisation == make_organisation_id("association"));
    cr_expect_eq(first.slots, 2);
    cr_expect_eq(first.connections, 2000);
    cr_expect_eq(first.health_port, 8080);
    cr_expect_not(first.is_draining);
    cr_expect(second.is_draining);
    cr_expect_eq(second.slots, 1);
    cr_expect_eq(second.health_port, 0);
}

Test(organisation, draining_false_is_not_draining)
{
    auto const document = parse_organisation(
        replace_part(good_organisation, "draining: soon", "draining: false"));
    cr_expect_not(document.upstreams.at(1).is_draining);
}

// Symptom: a slip in a document changes a service in a way nobody wrote.
// Sequence: a document with the slip is published and read.
// Cause: a value that cannot be read is replaced by a default.
Test(organisation, refuses_bad_documents)
{
    bad_document<kind> const cases[] = {
        {"organisation: association", "organisation: Bad/Name", kind::bad_name,
         1, 15},
        {"organisation: association", "organisation: [a]", kind::wrong_type, 1,
         15},
        {"organisation: association", "organisation: {", kind::not_yaml, 3, 11},
        {"organisation: association\n", "", kind::missing_key, 1, 1},
        {"  listings:", "  List_ings:", kind::bad_name, 3, 3},
        {":8443", "", kind::bad_port, 4, 14},
        {":8443", ":0", kind::bad_port, 4, 14},
        {":8443", ":65536", kind::bad_port, 4, 14},
        {"198.51.100.1", "198.51.100.256", kind::bad_address, 4, 14},
        {"protocol: tcp", "protocol: sctp", kind::bad_protocol, 5, 15},
        {"protocol: tcp", "protocol: udp", kind::bad_refusal, 10, 14},
        {"    protocol: tcp\n", "", kind::missing_key, 4, 5},
        {"tier in (a,b)", "tier of (a,b)", kind::bad_selector, 6, 33},
        {"app=listings,tier in (a,b)", "'app=listings,'", kind::bad_selector, 6,
         29},
        {"app=listings,tier in (a,b)", "!draining", kind::wrong_type, 6, 15},
        {"class: feed", "class: feeds", kind::bad_class, 7, 12},
        {"continuity", "both", kind::bad_preference, 8, 13},
        {"idempotent: false", "idempotent: no", kind::wrong_type, 9, 17},
        {"http_503", "http_500", kind::bad_refusal, 10, 14},
        {"3000/s", "3000", kind::bad_limit, 11, 24},
        {"3000/s", "0/s", kind::bad_limit, 11, 24},
        {"28000", "-1", kind::bad_limit, 11, 39},
        {"limits: {", "limits: {rate: 1, ", kind::unknown_key, 11, 14},
        {"prefer:", "prefers:", kind::unknown_key, 8, 5},
        {"prefer:", "class: feed\n    prefer:", kind::duplicate_key, 8, 5},
        {"127.0.16.1\n", "127.0.16\n", kind::bad_address, 14, 14},
        {"stirling\n", "Stirling\n", kind::bad_name, 15, 21},
        {"    failure_domain: perth\n", "", kind::missing_key, 21, 5},
        {"tier: a}", "tier: 'a b'}", kind::bad_name, 16, 36},
        {"slots: 2", "slots: 0", kind::bad_number, 17, 12},
        {"slots: 2", "slots: 2.5", kind::bad_number, 17, 12},
        {"slots: 2", "slots: 02", kind::bad_number, 17, 12},
        {"slots: 2", "slots:", kind::wrong_type, 17, 5},
        {"8080", "80800", kind::bad_port, 19, 18},
        {"perth-1:", "stirling-1:", kind::duplicate_key, 20, 3},
        {"organisation: association", "---\na: b\n---\norganisation: x",
         kind::not_yaml, 3, 1},
    };
    expect_errors(parse_organisation, good_organisation, cases);
}

Test(organisation, reports_all_errors_at_once)
{
    std::string text = replace_part(good_organisation, "feed", "fed");
    text = replace_part(text, "slots: 2", "slots: two");
    text = replace_part(text, ": perth", ": Perth");
    cr_expect_eq(errors_of(parse_organisation, text).size(), 3);
}

// Symptom: the log holds lines that no VM wrote.
// Sequence: a name in a refused document has a line feed in it.
// Cause: the error's subject is logged as it stands.
Test(organisation, subjects_fit_into_a_log_line)
{
    std::string const name = "\"a\\nb" + std::string(100, 'c') + "\"";
    auto const errors = errors_of(
        parse_organisation,
        replace_part(good_organisation, "association", name));
    cr_assert_eq(errors.size(), 1);
    cr_expect_eq(errors[0].subject, "a?b" + std::string(77, 'c'));
}

// Symptom: every VM runs out of memory or stack when a document arrives.
// Sequence: a short text with nested anchors or brackets is published.
// Cause: its tree is built before anything looks at its size.
Test(organisation, refuses_texts_that_unfold)
{
    std::string bomb = "a: &a [x, x]\nb: &b [*a, *a]\nc: [*b, *b]\n";
    std::string const large(maximum_document_bytes + 1, '#');
    std::string const full(maximum_document_bytes, '#');
    std::string many = "[";
    for (std::size_t index = 0; index < maximum_document_values; ++index)
        many += "a,";
    std::string const deepest = std::string(maximum_document_depth, '[') +
                                std::string(maximum_document_depth, ']');
    struct
    {
        std::string text;
        kind expected;
    } const cases[] = {
        {bomb, kind::alias_not_allowed},
        {large, kind::too_large},
        {full, kind::wrong_type},
        {many + "a]", kind::too_large},
        {replace_part(many, "a,", "") + "]", kind::wrong_type},
        {"[" + deepest + "]", kind::too_deep},
        {deepest, kind::wrong_type},
        {std::string(500'000, '['), kind::too_deep},
        {std::string(500'000, '{'), kind::too_deep},
        {"", kind::wrong_type},
    };
    for (auto const& item : cases)
    {
        auto const errors = errors_of(parse_organisation, item.text);
        cr_assert_eq(errors.size(), 1);
        cr_expect(
            errors[0].kind == item.expected, "%s",
            to_text(errors[0].kind).data());
    }
}

// Symptom: one organisation's document holds up decisions for all.
// Sequence: it declares thousands of services over thousands of upstreams.
// Cause: matching selectors costs their product.
Test(organisation, bounds_the_number_of_services)
{
    std::string text = "organisation: a\nupstreams: {}\nservices:\n";
    for (std::size_t index = 0; index <= maximum_services; ++index)
        text += "  s" + std::to_string(index) + ": {}\n";
    auto const errors = errors_of(parse_organisation, text);
    cr_expect(has_error(errors, kind::too_large, 4, 3));
}

Test(organisation, reports_a_bounded_number_of_errors)
{
    std::string text = good_organisation;
    for (std::size_t index = 0; index <= maximum_errors; ++index)
        text += "unknown: 1\n";
    cr_expect_eq(errors_of(parse_organisation, text).size(), maximum_errors);
}

Test(allotment, reads_ranges)
{
    auto const read = parse_allotment(good_allotment);
    organisation_allotment const* const found = read.find("association");
    cr_assert(found != nullptr);
    address_range const& range = found->service_addresses.at(0);
    cr_expect(range.contains(*parse_ipv4("198.51.100.0")));
    cr_expect(range.contains(*parse_ipv4("198.51.100.15")));
    cr_expect_not(range.contains(*parse_ipv4("198.51.100.16")));
    cr_expect_eq(found->upstream_addresses.at(1).prefix_length, 32);
    cr_expect(read.find("nobody") == nullptr);
}

// Symptom: two organisations answer for one address.
// Sequence: an allotment with overlapping or misread ranges is published.
// Cause: ranges are not compared, or their slips are rounded away.
Test(allotment, refuses_bad_documents)
{
    bad_document<kind> const cases[] = {
        {"100.0/28", "100.1/28", kind::bad_address, 3, 17},
        {"100.0/28", "100.0/33", kind::bad_address, 3, 17},
        {"100.0/28", "100.0/", kind::bad_address, 3, 17},
        {"[198.51.100.0/28]", "198.51.100.0/28", kind::wrong_type, 3, 16},
        {"brackenlea", "a/b", kind::bad_name, 5, 3},
        {"brackenlea", "association", kind::duplicate_key, 5, 3},
        {"203.0.113.0/28", "198.51.100.8/29", kind::overlapping_allotment, 6,
         17},
        {"203.0.113.0/28", "198.51.0.0/16", kind::overlapping_allotment, 3, 17},
        {"127.0.32.0/24", "127.0.17.9", kind::overlapping_allotment, 7, 17},
        {"203.0.113.0/28", "127.0.16.4", kind::overlapping_allotment, 6, 17},
        {"    upstreams: [127.0.32.0/24]\n", "", kind::missing_key, 6, 5},
        {"organisations:", "organisation:", kind::missing_key, 1, 1},
        {"organisations:", "x: 1\norganisations:", kind::unknown_key, 1, 1},
    };
    expect_errors(parse_allotment, good_allotment, cases);
}

// Symptom: one organisation receives another's traffic, or sends into it.
// Sequence: its document names an address or upstream it was not allotted.
// Cause: documents are taken at their word.
Test(allotment, keeps_documents_within_their_organisation)
{
    allotment const allotted = parse_allotment(good_allotment);
    std::string const second_listings =
        "  more: {address: '198.51.100.1:8443', protocol: tcp, class: form,"
        " selector: a}\nupstreams:";
    struct
    {
        char const* good_part;
        std::string bad_part;
        kind expected;
        std::uint32_t line;
    } const cases[] = {
        {"198.51.100.1:", "203.0.113.1:", kind::address_not_allotted, 4},
        {"198.51.100.1:", "198.51.100.16:", kind::address_not_allotted, 4},
        {"127.0.16.1\n", "127.0.32.1\n", kind::upstream_not_allotted, 14},
        {"127.0.16.1\n", "198.51.100.1\n", kind::upstream_not_allotted, 14},
        {"127.0.16.2\n", "127.0.16.1\n", kind::upstream_used_twice, 21},
        {"upstreams:", second_listings, kind::address_used_twice, 12},
        {"association", "stranger", kind::wrong_organisation, 0},
    };
    for (auto const& item : cases)
    {
        auto const document = parse_organisation(
            replace_part(good_organisation, item.good_part, item.bad_part));
        auto const errors = check_against_allotment(document, allotted);
        cr_assert_eq(errors.size(), 1, "%s", item.bad_part.c_str());
        cr_expect(errors[0].kind == item.expected);
        cr_expect_eq(errors[0].line, item.line);
    }
    auto const good = parse_organisation(good_organisation);
    cr_expect(check_against_allotment(good, allotted).empty());
}

// Symptom: a service sends callers to another organisation's hosts.
// Sequence: two organisations use the same labels.
// Cause: selectors are matched against all upstreams of the fleet.
Test(compile, selectors_pick_within_their_organisation)
{
    std::string other = replace_part(good_organisation, "association", "b");
    other = replace_part(other, "198.51.100.1", "203.0.113.1");
    other = replace_part(other, "127.0.16.1", "127.0.32.1");
    other = replace_part(other, "127.0.16.2", "127.0.32.2");
    organisation_document const documents[] = {
        parse_organisation(good_organisation), parse_organisation(other)};
    directory const compiled = compile_directory(documents);
    std::vector<upstream_id> const expected = {
        id_of("127.0.16.1"), id_of("127.0.16.2")};
    service const* const found =
        compiled.find_service(make_service_id("association", "listings"));
    cr_assert(found != nullptr);
    cr_expect(found->upstreams == expected);
    cr_expect_eq(compiled.services().size(), 2);
    cr_expect_eq(compiled.upstreams().size(), 4);
}

Test(compile, not_draining_removes_what_a_draining_label_keeps)
{
    std::string const text =
        replace_part(good_organisation, "tier in (a,b)", "!draining");
    auto const document = parse_organisation(text);
    auto const picked =
        pick_upstreams(document.services[0].picks, document.upstreams);
    cr_expect_eq(picked.size(), 1);
    cr_expect(picked.at(0) == id_of("127.0.16.1"));
}

Test(examples, can_be_compiled_with_the_sizes_of_the_deployments)
{
    struct
    {
        std::string name;
        std::size_t services;
        std::size_t shared_service_upstreams;
    } const cases[] = {{"association", 3, 14}, {"brackenlea", 3, 14}};
    for (auto const& item : cases)
    {
        auto const allotted =
            parse_allotment(read_example(item.name + "/allotment.yaml"));
        auto const document = parse_organisation(
            read_example(item.name + "/organisations/" + item.name + ".yaml"));
        cr_expect(check_against_allotment(document, allotted).empty());
        directory const compiled = compile_directory({&document, 1});
        cr_expect_eq(compiled.services().size(), item.services);
        cr_expect_eq(compiled.upstreams().size(), 18);
        service const* const first =
            compiled.find_service(document.services[0].declared.id);
        cr_expect_eq(first->upstreams.size(), item.shared_service_upstreams);
    }
}

// Symptom: a VM ends when a document arrives.
// Sequence: a document that was damaged at any place is read.
// Cause: an exception that is not `declaration_rejected` leaves the parser.
Test(mutations, leave_only_typed_errors)
{
    auto const rejected_organisations =
        count_rejected_mutations<declaration_rejected>(
            good_organisation,
            [](std::string_view text)
            {
                (void)parse_organisation(text);
            });
    auto const rejected_allotments =
        count_rejected_mutations<declaration_rejected>(
            good_allotment,
            [](std::string_view text)
            {
                (void)parse_allotment(text);
            });
    auto const rejected_selectors =
        count_rejected_mutations<declaration_rejected>(
            "app=listings,tier in (a,b),!draining",
            [](std::string_view text)
            {
                (void)selector::parse(text);
            });
    cr_expect_gt(rejected_organisations, 0);
    cr_expect_gt(rejected_allotments, 0);
    cr_expect_gt(rejected_selectors, 0);
}

} // namespace cairnhead
