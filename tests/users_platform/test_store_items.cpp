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

Test(store_items, reads_a_value_of_a_megabyte)
{
    std::string const value(std::size_t{1} << 20, '\xa5');
    store_item const read = parse_item(make_written("op/config", 3, value));
    cr_expect(read.value == value);
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
        {"\"key\"", "\"name\""},
        {"\"servers/i-1\"", "5"},
        {"servers/i-1", "servers/\xff"},
        {"\"rev\"", "\"revision\""},
        {"\"rev\":7", "\"rev\":-7"},
        {"\"rev\":7", "\"rev\":null"},
        {"\"value\"", "\"text\""},
        {"\"dmFsdWU=\"", "5"},
        {"dmFsdWU=", "dmFsdWU"},
        {"dmFsdWU=", "dmFsdWU=="},
        {"dmFsdWU=", "dm*sdWU="},
        {"dmFsdWU=", "dmFs dWU="},
        {"dmFsdWU=", "dmFsdW-_"},
        {"\"lease\":3", "\"removed\":\"no\""},
        {"[{", "[5,{"},
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
        cr_expect(is_malformed(
            [&]
            {
                return parse_item(body);
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
    auto const sparse = parse_upstream(
        "servers/i-1", R"({"service":"a","address":"1.2.3.4:5",)"
                       R"("state":"ready"})");
    cr_expect_eq(sparse.slots, 1);
    cr_expect_eq(sparse.cold_milliseconds, 0);
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
        {ipv4_address(0xc6120001), 443, flow_class::feed, true, {{"c", 1}}},
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
