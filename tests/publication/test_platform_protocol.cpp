#include <publication/platform_protocol.hpp>

#include <criterion/criterion.h>
#include <random>

using namespace cairnhead;
using namespace std::chrono_literals;

namespace
{

std::string const good_listing =
    R"({"index":7,"documents":[{"name":"allotment","version":3},)"
    R"({"name":"organisations/a","version":18446744073709551615}],)"
    R"("vms":["127.0.1.1","not an address",5,"127.0.1.2"],"new":{}})";

bool is_malformed(std::string const& body)
{
    auto const result = parse_listing(body);
    auto const* failure = std::get_if<platform_failure>(&result);
    return failure != nullptr &&
           *failure == platform_failure::malformed_listing;
}

} // namespace

Test(platform_protocol, a_good_listing)
{
    auto const result = parse_listing(good_listing);
    auto const* listing = std::get_if<platform_listed>(&result);
    cr_assert_not_null(listing);
    cr_expect(listing->index == platform_index(7));
    cr_assert_eq(listing->documents.size(), 2);
    cr_expect_eq(listing->documents[0].name, "allotment");
    cr_expect(listing->documents[1].version == document_version(~0ULL));
    cr_assert_eq(listing->vms.size(), 2);
    cr_expect(listing->vms[1] == vm_id(0x7f000102));
}

Test(platform_protocol, malformed_listings_are_refused_whole)
{
    // Symptom: the process ends, or part of a listing passes for all of it.
    // Sequence: the platform or something before it answers with another
    // body. Cause: a parser's exception, or entries passed over.
    std::string const table[] = {
        "",
        "null",
        "[]",
        "<html>",
        "{",
        "{}",
        R"({"index":1})",
        R"({"documents":[]})",
        R"({"index":-1,"documents":[]})",
        R"({"index":1.5,"documents":[]})",
        R"({"index":"1","documents":[]})",
        R"({"index":18446744073709551616,"documents":[]})",
        R"({"index":1,"documents":{}})",
        R"({"index":1,"documents":[5]})",
        R"({"index":1,"documents":[{"name":"a"}]})",
        R"({"index":1,"documents":[{"version":1}]})",
        R"({"index":1,"documents":[{"name":5,"version":1}]})",
        R"({"index":1,"documents":[{"name":"a","version":0}]})",
        R"({"index":1,"documents":[{"name":"a","version":-1}]})",
        "{\"index\":1,\"documents\":[{\"name\":\"\xff\",\"version\":1}]}",
        good_listing + "}",
        std::string(100'000, '['),
    };
    for (auto const& body : table)
        cr_expect(is_malformed(body), "%.60s", body.c_str());
    for (std::size_t size = 0; size < good_listing.size(); ++size)
        cr_expect(is_malformed(good_listing.substr(0, size)), "%zu", size);
}

Test(platform_protocol, mutated_listings_never_throw)
{
    std::mt19937_64 random(20260101);
    std::size_t refused = 0;
    for (auto round = 0; round < 20'000; ++round)
    {
        auto body = good_listing;
        for (auto left = 1 + random() % 4; left > 0; --left)
            body[random() % body.size()] = static_cast<char>(random());
        refused += is_malformed(body) ? 1 : 0;
    }
    cr_expect_gt(refused, 0);
}

Test(platform_protocol, versions_in_headers)
{
    struct table_entry
    {
        char const* line;
        std::uint64_t version;
    };
    table_entry const table[] = {
        {"X-Document-Version: 5\r\n", 5},
        {"x-document-version:5", 5},
        {"X-Document-Version: 18446744073709551615\r\n", ~0ULL},
        {"X-Document-Version: 18446744073709551616\r\n", 0},
        {"X-Document-Version: 0\r\n", 0},
        {"X-Document-Version: -5\r\n", 0},
        {"X-Document-Version: +5\r\n", 0},
        {"X-Document-Version: 5a\r\n", 0},
        {"X-Document-Version:\r\n", 0},
        {"X-Document-Versions: 5\r\n", 0},
        {"HTTP/1.1 200 OK\r\n", 0},
        {"", 0},
    };
    for (auto const& entry : table)
    {
        auto const value = find_version_value(entry.line);
        auto const version = parse_document_version(value.value_or(""));
        cr_expect_eq(
            version.value_or(document_version{}).value(), entry.version, "%s",
            entry.line);
    }
}

Test(platform_protocol, urls)
{
    cr_expect_eq(
        make_watch_url("http://h:1", platform_index(9), 30s),
        "http://h:1/v1/documents?after=9&wait=30000");
    cr_expect_eq(
        make_document_url("http://h:1", "organisations/a b?#%"),
        "http://h:1/v1/documents/organisations/a%20b%3F%23%25");
}
