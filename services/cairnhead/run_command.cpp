#include "command.hpp"
#include "flags.hpp"
#include "text_file.hpp"
#include "usage_error.hpp"

#include <absl/flags/flag.h>
#include <runtime/daemon.hpp>

namespace cairnhead
{

exit_code run_daemon(operand_list)
{
    std::string const path = absl::GetFlag(FLAGS_settings);
    if (path.empty())
        throw usage_error(usage_error_kind::missing_flag, "--settings");
    auto const read = [&path]
    {
        return parse_settings(read_text_file(path));
    };
    daemon served(read(), read);
    served.run();
    return exit_code::success;
}

} // namespace cairnhead
