#include <observability/logger.hpp>

#include <easylogging++.h>
#include <iostream>

namespace cairnhead
{

namespace
{

constexpr char logger_id[] = "cairnhead";

el::Level level_of(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return el::Level::Debug;
    case log_level::info:
        return el::Level::Info;
    case log_level::warning:
        return el::Level::Warning;
    case log_level::error:
        return el::Level::Error;
    }
    return el::Level::Error;
}

/// The line is complete when it gets here; easylogging++ adds only its end.
el::Logger& configured_logger()
{
    el::Configurations configurations;
    configurations.setGlobally(el::ConfigurationType::Format, "%msg");
    configurations.setGlobally(el::ConfigurationType::ToFile, "false");
    configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    auto* const made = el::Loggers::getLogger(logger_id);
    made->configure(configurations);
    return *made;
}

void write_line(log_level level, std::string_view line)
{
    static el::Logger& target = configured_logger();
    el::base::Writer(level_of(level), __FILE__, __LINE__, __func__)
            .construct(&target)
        << std::string(line);
}

} // namespace

log_sink standard_error_sink()
{
    return write_line;
}

} // namespace cairnhead
