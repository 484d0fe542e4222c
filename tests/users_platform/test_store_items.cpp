#include "samples.hpp"

#include <criterion/criterion.h>

using namespace cairnhead;
using namespace cairnhead::samples;
using namespace std::chrono_literals;

namespace
{

std::string const good_value = make_value("10.0.0.5:8080", "ready");

template <typename Reader>
bool is_malformed(Reader const& reader)
{
    try
    {
        (void)reader();
    }
    catch (store_malformed const&)
    {
        return true;
    }
    return false;
}

std::string
replace_part(std::string text, std::string const& part, std::string const& by)
{
    auto const found = text.find(part);
    cr_assert_neq(found, std::string::npos, "%s", part.c_str());
    return text.replace(found, part.size(), by);
}

} // namespace

Test(store_items, reads_pages)
{
    store_page const range = parse_range(make_page(
        "items", {make_written("servers/i-1", 7, std::string("\0\xff", 2))}, 9,
        true));
    cr_assert_eq(range.items.size(), 1);
    cr_expect_eq(range.items[0].key, "servers/i-1");
    cr_expect(range.items[0].revision == store_revision(7));
    cr_expect(range.items[0].value == std::string("\0\xff", 2));
    cr_expect(range.revision == store_revision(9));
    cr_expect(range.is_truncated);

    store_page const watch = parse_watch(make_page(
        "events",
        {make_removed("servers/i-1", 8), make_written("servers/i-2", 9, "")},
        10));
    cr_assert_eq(watch.items.size(), 2);
    cr_expect_not(watch.items[0].value.has_value());
    cr_expect(watch.items[0].revision == store_revision(8));
    cr_expect(watch.items[1].value == "");
    cr_expect_not(watch.is_truncated);
    cr_expect(parse_watch(make_page("events", {}, 3)).items.empty());
}

// Symptom: an upstream's change is not seen, or all of them are lost. Sequence:
// another writer puts something into the store. Cause: one item that cannot be
// read makes the whole page one.
Test(store_items, an_item_that_cannot_be_read_holds_back_no_other)
{
    struct table_entry
    {
        char const* part;
        char const* by;
        /// Nothing where not even the key can be read.
        std::optional<store_fault> fault;
    };
    using enum store_fault;
    table_entry const table[] = {
        {"\"key\"", "\"name\"", std::nullopt},
        {"\"servers/i-1\"", "5", std::nullopt},
        {"\"rev\"", "\"revision\"", wrong_field},
        {"\"rev\":7", "\"rev\":-7", out_of_range},
        {"\"rev\":7", "\"rev\":7.5", out_of_range},
        {"\"rev\":7", "\"rev\":18446744073709551616", out_of_range},
        {"\"rev\":7", "\"rev\":null", wrong_field},
        {"\"rev\":7", "\"rev\":\"7\"", wrong_field},
        {"\"value\"", "\"text\"", wrong_field},
        {"\"dmFsdWU=\"", "5", wrong_field},
        {"dmFsdWU=", "dmFsdWU", not_base64},
        {"dmFsdWU=", "dmFsdWU==", not_base64},
        {"dmFsdWU=", "dm*sdWU=", not_base64},
        {"dmFsdWU=", "dmFs dWU=", not_base64},
        {"dmFsdWU=", "dmFsdW-_", not_base64},
        {"\"lease\":3", "\"removed\":\"no\"", wrong_field},
    };
    for (auto const& [part, by, fault] : table)
    {
        auto const bad =
            replace_part(make_written("servers/i-1", 7, "value"), part, by);
        for (std::string const list : {"items", "events"})
        {
            auto const body = make_page(
                list, {bad, make_written("servers/i-2", 8, "value")}, 9);
            auto const page =
                list == "items" ? parse_range(body) : parse_watch(body);
            cr_assert_eq(page.items.size(), fault ? 2 : 1, "%s", by);
            cr_expect_eq(page.nameless_items, fault ? 0 : 1, "%s", by);
            cr_expect(page.items.back().value == "value");
            if (!fault)
                continue;
            cr_expect(page.items[0].fault == fault, "%s", by);
            cr_expect_eq(page.items[0].key, "servers/i-1");
            cr_expect(page.items[0].revision == store_revision(9));
            cr_expect_not(page.items[0].value.has_value());
        }
    }
    auto const with_number = replace_part(
        make_page("items", {make_written("servers/i-2", 8, "")}, 9), "[{",
        "[5,{");
    cr_expect_eq(parse_range(with_number).nameless_items, 1);
    cr_expect_eq(parse_range(with_number).items.size(), 1);
}

Test(store_items, reads_a_value_of_a_megabyte)
{
    std::string const value(std::size_t{1} << 20, '\xa5');
    auto const page = parse_range(
        make_page("items", {make_written("op/config", 3, value)}, 3));
    cr_assert_eq(page.items.size(), 1);
    cr_expect(page.items[0].value == value);
}

Test(store_items, refuses_bad_pages)
{
    // Symptom: VMs take a broken answer for the registry. Sequence: the store
    // or something before it answers with another body. Cause: a field that
    // is missing, of another type or out of range read as some number. A
    // revision or version that wrapped around would outrank all later ones.
    std::string const item = make_written("servers/i-1", 7, "value");
    std::string const good = make_page("items", {item}, 9);
    cr_expect_not(is_malformed(
        [&]
        {
            return parse_range(good);
        }));
    struct table_entry
    {
        char const* part;
        char const* by;
    };
    table_entry const table[] = {
        {"\"items\"", "\"events\""},
        {"\"storeRevision\"", "\"revision\""},
        {":9}", ":-1}"},
        {":9}", ":1.5}"},
        {":9}", ":true}"},
        {":9}", ":\"9\"}"},
        {":9}", ":18446744073709551616}"},
        {":9}", ":9"},
        {":9}", ":9,\"truncated\":1}"},
        {"servers/i-1", "servers/\xff"},
    };
    for (auto const& [part, by] : table)
    {
        std::string const bad = replace_part(good, part, by);
        cr_expect(
            is_malformed(
                [&]
                {
                    return parse_range(bad);
                }),
            "%s", by);
    }
    std::string const bodies[] = {
        "", "null", "[]", "<html>", "5", "{}", std::string(100'000, '[')};
    for (std::string const& body : bodies)
    {
        cr_expect(is_malformed(
            [&]
            {
                return parse_range(body);
            }));
        cr_expect(is_malformed(
            [&]
            {
                return parse_watch(body);
            }));
    }
}

Test(store_items, reads_an_upstream)
{
    registered_upstream const expected{
        .instance = instance_number(0x7f3a91c2),
        .address = ipv4_address(0x0a000005),
        .port = 8080,
        .is_draining = false,
        .slots = 6,
        .cold_milliseconds = 9000,
        .pool = "listings",
        .failure_domain = "perth"};
    cr_expect(parse_upstream("servers/i-7f3a91c2", good_value) == expected);
    cr_expect(parse_upstream(
                  "servers/7f3a91c2", make_value("10.0.0.5:8080", "draining"))
                  .is_draining);
    cr_expect(
        parse_upstream("servers/a-b-ffffffffffffffff", good_value).instance ==
        instance_number(0xffffffffffffffff));
    auto const reborn =
        replace_part(good_value, "{", "{\"born\":1772409600123,");
    cr_expect(
        parse_upstream("servers/i-1", reborn).life ==
        incarnation(1772409600123));
    auto const fraction = replace_part(good_value, "9000", "1500.75");
    cr_expect_eq(
        parse_upstream("servers/i-1", fraction).cold_milliseconds, 1500);
}

Test(store_items, refuses_bad_upstreams)
{
    struct table_entry
    {
        char const* part;
        char const* by;
    };
    table_entry const table[] = {
        {"\"service\"", "\"pool\""},
        {"\"listings\"", "7"},
        {"\"address\"", "\"host\""},
        {"10.0.0.5:8080", ""},
        {"10.0.0.5:8080", ":"},
        {"10.0.0.5:8080", ":8080"},
        {"10.0.0.5:8080", "10.0.0.5"},
        {"10.0.0.5:8080", "10.0.0.55"},
        {"10.0.0.5:8080", "10.0.0:8080"},
        {"10.0.0.5:8080", "10.0.0.256:8080"},
        {"10.0.0.5:8080", "name:8080"},
        {"10.0.0.5:8080", "[::1]:8080"},
        {":8080", ":"},
        {":8080", ":0"},
        {":8080", ":-1"},
        {":8080", ":65536"},
        {":8080", ":80x"},
        {"\"state\"", "\"status\""},
        {"\"ready\"", "true"},
        {"\"slots\":6", "\"slots\":\"6\""},
        {"\"slots\":6", "\"slots\":-6"},
        {"\"slots\":6", "\"slots\":4294967296"},
        {"\"coldLeftMs\":9000", "\"coldLeftMs\":-1"},
        {"\"coldLeftMs\":9000", "\"coldLeftMs\":4294967296"},
        {"\"perth\"", "5"},
        // Fields that are missing, states without a meaning here, other types:
        // what another writer put there names no upstream.
        {"\"zone\":\"perth\",", ""},
        {"\"slots\":6,", ""},
        {"\"configVersion\":4,", ""},
        {"\"coldLeftMs\":9000,", ""},
        {",\"seqNo\":0", ""},
        {"\"seqNo\":0", "\"seqNo\":\"0\""},
        {"\"seqNo\":0", "\"seqNo\":-1"},
        {"\"ready\"", "\"\""},
        {"\"ready\"", "\"READY\""},
        {"\"ready\"", "\"paused\""},
        {"{\"service\"", "{\"born\":\"1\",\"service\""},
        {"{\"service\"", "{\"born\":1.5,\"service\""},
        {"{\"service\"", "{\"born\":-1,\"service\""},
        {"{\"service\"", "{\"born\":null,\"service\""},
        {"}", ""},
    };
    for (auto const& [part, by] : table)
    {
        std::string const bad = replace_part(good_value, part, by);
        cr_expect(
            is_malformed(
                [&]
                {
                    return parse_upstream("servers/i-1", bad);
                }),
            "%s", by);
    }
    char const* const keys[] = {"servers/",      "servers/i-",
                                "servers/i-xyz", "servers/i-0",
                                "servers/i-1/x", "servers/i-+1",
                                "servers/i-0x1", "servers/i-10000000000000000"};
    for (char const* const key : keys)
        cr_expect(
            is_malformed(
                [&]
                {
                    return parse_upstream(key, good_value);
                }),
            "%s", key);
}

Test(store_items, reads_a_configuration)
{
    auto const read = parse_configuration(
        R"({"configVersion":12,"routes":[)"
        R"({"host":"198.18.0.2","prefix":"/443/","service":"a",)"
        R"("kind":"download","timeoutMs":5},)"
        R"({"host":"198.18.0.1","prefix":"/444/","kind":"non_idempotent",)"
        R"("weightedSplit":[{"service":"a","weight":1},)"
        R"({"service":"b","weight":3}]},)"
        R"({"host":"198.18.0.1","prefix":"/443/","service":"c"}],)"
        R"("services":[],"limits":{"idleTimeoutMs":2500}})");
    cr_expect(read.version == document_version(12));
    cr_expect(read.listing.idle_timeout == 2500ms);
    std::vector<published_route> const expected = {
        {ipv4_address(0xc6120001), 443, flow_class::form, false, {{"c", 1}}},
        {ipv4_address(0xc6120001),
         444,
         flow_class::form,
         false,
         {{"a", 1}, {"b", 3}}},
        {ipv4_address(0xc6120002), 443, flow_class::media, true, {{"a", 1}}}};
    cr_expect(read.listing.routes == expected);
    cr_expect(parse_configuration(R"({"configVersion":1,"routes":[]})")
                  .listing.routes.empty());
}

// Symptom: an upload runs twice. Sequence: its first packet carries data, and
// reaches two VMs. Cause: a kind that is not named idempotent is taken for it.
Test(store_items, only_what_is_named_idempotent_may_run_twice)
{
    struct table_entry
    {
        char const* kind;
        flow_class traffic;
        bool is_idempotent;
    };
    table_entry const table[] = {
        {"idempotent", flow_class::feed, true},
        {"download", flow_class::media, true},
        {"upload", flow_class::upload, false},
        {"non_idempotent", flow_class::form, false},
        {"one_of_next_year", flow_class::form, false},
        {"", flow_class::form, false},
    };
    for (auto const& [kind, traffic, is_idempotent] : table)
    {
        auto const read = parse_configuration(
            std::string(R"({"configVersion":1,"routes":[{"host":"198.18.0.2",)"
                        R"("prefix":"/443/","service":"a",)"
                        R"("targetLatencyMs":150,"kind":")") +
            kind + R"("}]})");
        cr_assert_eq(read.listing.routes.size(), 1);
        published_route const& route = read.listing.routes[0];
        cr_expect(route.traffic == traffic, "%s", kind);
        cr_expect_eq(route.is_idempotent, is_idempotent, "%s", kind);
        cr_expect(route.target_latency == 150ms);
    }
}

// Symptom: a route whose priority is written in another way serves nobody.
// Cause: the whole configuration is rejected for a field that routing does not
// need.
Test(store_items, a_route_keeps_serving_without_a_readable_priority)
{
    struct table_entry
    {
        char const* field;
        std::optional<std::uint8_t> priority;
    };
    table_entry const table[] = {
        {R"(,"priority":0)", 0},
        {R"(,"priority":2)", 2},
        {R"(,"priority":255)", 255},
        {"", std::nullopt},
        {R"(,"priority":256)", std::nullopt},
        {R"(,"priority":-1)", std::nullopt},
        {R"(,"priority":1.5)", std::nullopt},
        {R"(,"priority":"1")", std::nullopt},
        {R"(,"priority":null)", std::nullopt},
        {R"(,"priority":[1])", std::nullopt},
    };
    for (auto const& [field, priority] : table)
    {
        auto const read = parse_configuration(
            std::string(R"({"configVersion":1,"routes":[{"host":"198.18.0.2",)"
                        R"("prefix":"/443/","service":"a")") +
            field + "}]}");
        cr_assert_eq(read.listing.routes.size(), 1, "%s", field);
        cr_expect(read.listing.routes[0].priority == priority, "%s", field);
    }
}

Test(store_items, refuses_bad_configurations)
{
    std::string const good = make_configuration(12);
    struct table_entry
    {
        char const* part;
        char const* by;
    };
    table_entry const table[] = {
        {"\"configVersion\":12", "\"version\":12"},
        {"\"configVersion\":12", "\"configVersion\":-1"},
        {"\"configVersion\":12", "\"configVersion\":\"12\""},
        {"\"configVersion\":12", "\"configVersion\":1.5"},
        {"\"routes\"", "\"paths\""},
        {"\"host\"", "\"address\""},
        {"198.18.0.1", "a.example"},
        {"/443/", ""},
        {"/443/", "/"},
        {"/443/", "//"},
        {"/443/", "/443"},
        {"/443/", "443/"},
        {"/443/", "/0/"},
        {"/443/", "/65536/"},
        {"/443/", "/a/"},
        {"\"service\":\"listings\"", "\"pool\":\"listings\""},
        {"\"service\":\"listings\"", "\"weightedSplit\":[{\"weight\":1}]"},
        {"\"service\":\"listings\"",
         "\"weightedSplit\":[{\"service\":\"a\",\"weight\":-1}]"},
        {"\"idempotent\"", "5"},
        {":20000", ":-1"},
        {":20000", ":\"20s\""},
        {":20000", ":9223372036854775807"},
    };
    for (auto const& [part, by] : table)
    {
        std::string const bad = replace_part(good, part, by);
        cr_expect(
            is_malformed(
                [&]
                {
                    return parse_configuration(bad);
                }),
            "%s", by);
    }
}
