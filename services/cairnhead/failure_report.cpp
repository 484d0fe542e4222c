#include "failure_report.hpp"

#include "error_lines.hpp"
#include "flags.hpp"
#include "story_text.hpp"
#include "text_file.hpp"
#include "usage_error.hpp"

#include <absl/flags/flag.h>
#include <control/rpc_errors.hpp>
#include <declaration/declaration_error.hpp>
#include <runtime/system_failure.hpp>
#include <settings/settings_error.hpp>

#include <ostream>
#include <system_error>

namespace cairnhead
{

namespace
{

exit_code tell(std::ostream& out, usage_error const& error)
{
    out << "cairnhead: " << to_text(error.kind());
    if (!error.subject().empty())
        out << ": " << error.subject();
    out << "\nTry `cairnhead --help`.\n";
    return exit_code::usage;
}

exit_code tell(std::ostream& out, system_failure const& failure)
{
    out << "cairnhead: " << to_text(failure.call()) << ": "
        << std::generic_category().message(failure.error_number()) << '\n';
    return exit_code::rejected;
}

} // namespace

exit_code report_failure(std::ostream& out)
{
    try
    {
        throw;
    }
    catch (usage_error const& error)
    {
        return tell(out, error);
    }
    catch (unreadable_file const& failure)
    {
        out << "cairnhead: cannot read " << failure.path().string() << '\n';
        return exit_code::rejected;
    }
    catch (not_a_log const& failure)
    {
        write_skipped(out, std::span(&failure.first(), 1));
        return exit_code::rejected;
    }
    catch (settings_rejected const& rejected)
    {
        write_errors(out, absl::GetFlag(FLAGS_settings), rejected.errors());
        return exit_code::rejected;
    }
    catch (declaration_rejected const& rejected)
    {
        write_errors(out, absl::GetFlag(FLAGS_declarations), rejected.errors());
        return exit_code::rejected;
    }
    catch (system_failure const& failure)
    {
        return tell(out, failure);
    }
    catch (control_unreachable const& failure)
    {
        out << "cairnhead: no answer from " << absl::GetFlag(FLAGS_at) << ": "
            << failure.what() << '\n';
        return exit_code::unreachable;
    }
    catch (std::exception const& failure)
    {
        out << "cairnhead: " << failure.what() << '\n';
        return exit_code::rejected;
    }
}

} // namespace cairnhead
