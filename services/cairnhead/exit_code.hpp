#pragma once

namespace cairnhead
{

/// What the program tells its caller; scripts rely on the numbers.
enum class exit_code : int
{
    success = 0,
    /// The settings, declarations or selector are not valid, or the daemon
    /// could not start or go on.
    rejected = 1,
    /// The command line is wrong.
    usage = 2,
    /// No daemon answered.
    unreachable = 3,
};

} // namespace cairnhead
