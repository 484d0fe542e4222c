#include <http/http_url.hpp>

#include <criterion/criterion.h>

using namespace cairnhead;

Test(http_url, what_may_be_spoken_to)
{
    struct table_entry
    {
        char const* url;
        char const* authority;
        char const* target;
    };
    table_entry const table[] = {
        {"http://h", "h", "/"},
        {"http://h:1/a/b?c=d", "h:1", "/a/b?c=d"},
        {"http://h?c", "h", "/?c"},
        {"HTTP://127.0.0.1:80/", "127.0.0.1:80", "/"},
        {"http://[::1]:80/a", "[::1]:80", "/a"},
        {"http://h/a#b", "h", "/a"},
        {"http://unix.example:80/", "unix.example:80", "/"},
    };
    for (auto const& entry : table)
    {
        auto const read = parse_http_url(entry.url);
        cr_assert(read.has_value(), "%s", entry.url);
        cr_expect_eq(read->authority, entry.authority, "%s", entry.url);
        cr_expect_eq(read->target, entry.target, "%s", entry.url);
    }
}

Test(http_url, what_may_not_be_spoken_to)
{
    // Symptom: the VM talks to a local socket, or sends headers that it never
    // meant to. Sequence: a URL or a document's name is made for it. Cause: a
    // URL that goes into the connection and the request line as it stands.
    char const* const table[] = {
        "",
        "http://",
        "http:///a",
        "http://:80/",
        "h:80/a",
        "https://h/",
        "ftp://h/",
        "file:///a",
        "http://unix:/run/socket",
        "http://unix-abstract:name",
        "http://*:80/",
        "http://user@h/",
        "http://h/a b",
        "http://h/a\r\nX: y",
        "http://h/\x7f",
    };
    for (auto const* url : table)
        cr_expect_not(parse_http_url(url).has_value(), "%s", url);
}
