#include <declaration/declaration_error.hpp>
#include <declaration/selector.hpp>

#include <criterion/criterion.h>

namespace cairnhead
{

namespace
{

struct selector_match
{
    char const* text;
    bool is_match;
};

struct bad_selector
{
    char const* text;
    std::uint32_t column;
};

std::map<std::string, std::string> const labels = {
    {"app", "listings"}, {"tier", "a"}, {"draining", "false"}};

std::uint32_t rejected_column(std::string_view text)
{
    try
    {
        (void)selector::parse(text);
    }
    catch (declaration_rejected const& failure)
    {
        return failure.errors().front().column;
    }
    return 0;
}

} // namespace

Test(selector, matches_labels)
{
    selector_match const cases[] = {
        {"app=listings", true},
        {"app==listings", true},
        {"app=media", false},
        {"zone=a", false},
        {"app!=media", true},
        {"app!=listings", false},
        {"zone!=a", true},
        {"tier in (a,b)", true},
        {"tier in (b)", false},
        {"zone in (a)", false},
        {"tier notin (b, c)", true},
        {"tier notin (a)", false},
        {"zone notin (a)", true},
        {"app", true},
        {"zone", false},
        {"!zone", true},
        {"!app", false},
        {"!draining", false},
        {" app = listings , tier in ( a , b ) , ! zone ", true},
        {"app=listings,tier in (a,b),!draining", false},
        {"app=listings,tier=b", false},
        {"in in (a)", false},
    };
    for (selector_match const& item : cases)
        cr_expect_eq(
            selector::parse(item.text).matches(labels), item.is_match, "%s",
            item.text);
}

// Symptom: a service takes upstreams that its operator never meant.
// Sequence: a selector with a slip is read as far as it makes sense.
// Cause: what follows the slip is dropped in silence.
Test(selector, refuses_bad_text_with_its_column)
{
    bad_selector const cases[] = {
        {"", 1},
        {"   ", 4},
        {",", 1},
        {"app=", 5},
        {"app=listings,", 14},
        {"app=listings tier=a", 14},
        {"app is listings", 5},
        {"tier in a", 9},
        {"tier in (", 10},
        {"tier in ()", 10},
        {"tier in (a", 11},
        {"tier in (a,)", 12},
        {"!", 2},
        {"!app=listings", 5},
        {"app=list$ings", 9},
        {"app&tier", 4},
        {"a,a,a,a,a,a,a,a,a,a,a,a,a,a,a,a,a", 33},
    };
    for (bad_selector const& item : cases)
        cr_expect_eq(
            rejected_column(item.text), item.column, "%s: %u", item.text,
            rejected_column(item.text));
    cr_expect_eq(rejected_column("key=" + std::string(64, 'v')), 5);
}

} // namespace cairnhead
