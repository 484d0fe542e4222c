#include <filesystem>
#include <iostream>
#include <observability/log_report.hpp>
#include <sstream>
#include <vector>

// Last: its macro `Test` would change Abseil's headers.
#include <criterion/criterion.h>

using namespace cairnhead;
using namespace std::chrono_literals;

namespace
{

// 2026-01-01T00:00:00Z
constexpr auto new_year = std::chrono::system_clock::time_point(1767225600s);

/// A logger whose clock and lines the test holds.
struct fixture
{
    explicit fixture(log_options options = {})
        : log(
              options,
              [this](log_level, std::string_view line)
              {
                  this->lines.emplace_back(line);
              },
              [this]
              {
                  return this->now;
              })
    {
    }

    std::chrono::system_clock::time_point now = new_year;
    std::vector<std::string> lines;
    logger log;
};

} // namespace

Test(log_line, values_never_leave_their_place)
{
    // Symptom: an operator's tools count an event that never happened.
    // Sequence: an organisation puts a newline or `level=error` into a
    // document, and an error about it is logged.
    // Cause: text from outside that is written as it came.
    struct value_case
    {
        std::string value;
        std::string written;
    };
    value_case const cases[] = {
        {"127.0.1.2", "127.0.1.2"},
        {"", R"("")"},
        {"two words", R"("two words")"},
        {"a=b", R"("a=b")"},
        {"x\nlevel=error event=forged", R"("x\nlevel=error event=forged")"},
        {"\r\t", R"("\r\t")"},
        {R"(" event="forged)", R"("\" event=\"forged")"},
        {R"(\")", R"("\\\"")"},
        {"\x1b[2J", R"("\x1b[2J")"},
        {std::string("a\0b", 3), R"("a\x00b")"},
        {"\x7f", R"("\x7f")"},
        {"\xc2\x85", R"("\xc2\x85")"},
        {"%msg %level", R"("%msg %level")"},
        {std::string(2000, 'v'), std::string(1024, 'v') + "..."},
    };
    for (auto const& item : cases)
    {
        log_field const field{"detail", item.value};
        auto const line = format(
            {new_year + 7ms, log_level::info, "ready", std::span(&field, 1)});
        auto const expected =
            "time=2026-01-01T00:00:00.007Z level=info event=ready detail=" +
            item.written;
        cr_expect_eq(line, expected, "%s", line.c_str());
    }
}

Test(logger, lines_below_the_level_are_not_written)
{
    fixture it({.least = log_level::warning});
    it.log.write(log_level::info, "ready");
    it.log.write(log_level::warning, "pin_conflict", {{"vm", "127.0.1.2"}});
    cr_assert_eq(it.lines.size(), 1);
    cr_assert(it.lines[0].ends_with("event=pin_conflict vm=127.0.1.2"));
}

Test(logger, a_flood_of_lines_is_counted_instead)
{
    // Symptom: the process waits for its own log while packets are lost.
    // Sequence: a fault writes thousands of lines a second.
    // Cause: a logger without a limit.
    fixture it({.lines_per_second = 2});
    for (int line = 0; line < 10; ++line)
        it.log.write(log_level::info, "ready");
    cr_assert_eq(it.lines.size(), 2);
    it.log.tell_suppressed();
    cr_assert_eq(it.lines.size(), 2, "the second is not over");

    it.now += 1s;
    it.log.write(log_level::info, "ready");
    cr_assert_eq(it.lines.size(), 4);
    cr_assert(it.lines[2].ends_with("event=lines_suppressed count=8"));

    it.now += 1s;
    it.log.tell_suppressed();
    cr_assert_eq(it.lines.size(), 4, "there is nothing to tell");
}

Test(logger, a_clock_that_is_set_back_does_not_silence_it)
{
    // Symptom: a VM writes nothing for an hour.
    // Sequence: its wall clock is set back by an hour.
    // Cause: a limit that waits until an old moment comes again.
    fixture it({.lines_per_second = 1});
    it.log.write(log_level::info, "ready");
    it.now -= 1h;
    it.log.write(log_level::info, "ready");
    cr_assert_eq(it.lines.size(), 2);
}

Test(logger, reports_name_their_subject)
{
    struct report_case
    {
        report told;
        std::string end;
    };
    report_case const cases[] = {
        {{report_kind::member_died, "127.0.1.2", ""},
         "level=warning event=member_died vm=127.0.1.2"},
        {{report_kind::document_rejected, "association", "line 3: no port"},
         "level=error event=document_rejected document=association "
         "detail=\"line 3: no port\""},
        {{report_kind::upstream_ejected, "10.0.0.1", ""},
         "level=warning event=upstream_ejected upstream=10.0.0.1"},
        {{report_kind::ready, "", ""}, "level=info event=ready"},
    };
    for (auto const& item : cases)
    {
        fixture it;
        write_report(it.log, item.told);
        cr_expect(it.lines.at(0).ends_with(item.end), "%s", it.lines[0].data());
    }
}

Test(logger, levels_are_read_by_name)
{
    cr_expect(parse_log_level("warning") == log_level::warning);
    cr_expect(parse_log_level("WARNING") == std::nullopt);
}

Test(logger, the_standard_sink_writes_whole_lines_to_standard_error)
{
    std::ostringstream error;
    std::ostringstream output;
    auto* const old_error = std::cerr.rdbuf(error.rdbuf());
    auto* const old_output = std::cout.rdbuf(output.rdbuf());
    logger log(
        {.least = log_level::debug}, standard_error_sink(),
        []
        {
            return new_year;
        });
    log.write(log_level::debug, "ready", {{"detail", "100 %msg %level"}});
    log.write(log_level::error, "ready");
    std::cerr.rdbuf(old_error);
    std::cout.rdbuf(old_output);
    cr_expect_eq(
        error.str(),
        "time=2026-01-01T00:00:00.000Z level=debug event=ready "
        "detail=\"100 %msg %level\"\n"
        "time=2026-01-01T00:00:00.000Z level=error event=ready\n",
        "%s", error.str().c_str());
    cr_expect(output.str().empty());
}

Test(logger, no_file_is_written)
{
    // Symptom: a VM without disks ends, or fills its memory, at start.
    // Sequence: the program starts; no line was written yet.
    // Cause: easylogging++ opens its default file before main().
    cr_expect_not(std::filesystem::exists("myeasylog.log"));
}
