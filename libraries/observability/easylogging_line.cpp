#include <observability/easylogging_line.hpp>

#include <easylogging++.h>

#include <utility>

namespace cairnhead
{

namespace
{

constexpr char logger_id[] = "cairnhead";
constexpr char callback_id[] = "cairnhead_lines";

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

/// Keeps the line that the library dispatched last.
class line_keeper : public el::LogDispatchCallback
{
public:
    std::string take()
    {
        return std::exchange(this->kept, {});
    }

protected:
    void handle(el::LogDispatchData const* data) override
    {
        this->kept = data->logMessage()->message();
    }

private:
    std::string kept;
};

/// The line is complete when it gets here; easylogging++ adds nothing.
el::Logger& configured_logger()
{
    el::Configurations configurations;
    configurations.setGlobally(el::ConfigurationType::Format, "%msg");
    configurations.setGlobally(el::ConfigurationType::ToFile, "false");
    configurations.setGlobally(
        el::ConfigurationType::ToStandardOutput, "false");
    auto* const made = el::Loggers::getLogger(logger_id);
    made->configure(configurations);
    el::Helpers::uninstallLogDispatchCallback<
        el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<line_keeper>(callback_id);
    return *made;
}

} // namespace

std::string through_easylogging(log_level level, std::string const& line)
{
    static el::Logger& target = configured_logger();
    static auto* const keeper =
        el::Helpers::logDispatchCallback<line_keeper>(callback_id);
    el::base::Writer(level_of(level), __FILE__, __LINE__, __func__)
            .construct(&target)
        << line;
    return keeper->take();
}

} // namespace cairnhead
