#include "log_files.hpp"

#include "text_file.hpp"

#include <algorithm>
#include <fstream>
#include <map>
#include <utility>
#include <variant>

namespace cairnhead
{

namespace
{

namespace files = std::filesystem;

std::vector<files::path> list_files(std::string const& name)
{
    if (!files::is_directory(name))
        return {name};
    std::vector<files::path> found;
    for (files::directory_entry const& entry : files::directory_iterator(name))
    {
        if (entry.is_regular_file())
            found.push_back(entry.path());
    }
    std::ranges::sort(found);
    return found;
}

/// The name that a collector put before the line; empty for none.
std::string_view name_in(std::string_view prefix)
{
    std::size_t const space = prefix.find_last_of(" \t");
    return space == std::string_view::npos ? prefix : prefix.substr(space + 1);
}

/// The VM's own address, as its start tells it; or else the file's name.
std::string name_of(files::path const& file, vm_log const& log)
{
    for (log_record const& record : log.records)
    {
        if (record.event == "started" && !record.value_of("vm").empty())
            return std::string(record.value_of("vm"));
    }
    return file.filename().string();
}

/// Reads one file into logs, one for each name in it.
class log_file
{
public:
    log_file(files::path path, read_logs& into)
        : file(std::move(path)), all(into)
    {
    }

    void read()
    {
        std::ifstream stream(this->file);
        if (!stream || files::is_directory(this->file))
            throw unreadable_file(this->file);
        std::string line;
        for (std::size_t number = 1; std::getline(stream, line); ++number)
            this->take(number, line);
        if (stream.bad())
            throw unreadable_file(this->file);
        if (this->by_name.empty())
            throw not_a_log(this->first_skipped());
        for (auto& [name, log] : this->by_name)
        {
            log.vm = name.empty() ? name_of(this->file, log) : name;
            this->all.logs.push_back(std::move(log));
        }
    }

private:
    void take(std::size_t number, std::string_view line)
    {
        if (line.empty())
            return;
        auto parsed = parse_log_line(line);
        if (auto const* const fault = std::get_if<malformed_line>(&parsed))
            return this->all.skipped.push_back({this->file, number, *fault});
        auto& record = std::get<log_record>(parsed);
        std::string const name(name_in(record.prefix));
        this->by_name[name].records.push_back(std::move(record));
    }

    [[nodiscard]] skipped_line first_skipped() const
    {
        auto const own = std::ranges::find(
            this->all.skipped, this->file, &skipped_line::file);
        return own == this->all.skipped.end() ? skipped_line{this->file, 1, {}}
                                              : *own;
    }

    files::path file;
    read_logs& all;
    std::map<std::string, vm_log> by_name;
};

} // namespace

not_a_log::not_a_log(skipped_line first) : first_line(std::move(first))
{
}

skipped_line const& not_a_log::first() const
{
    return this->first_line;
}

char const* not_a_log::what() const noexcept
{
    return "the file is not a log";
}

read_logs read_log_files(std::span<std::string const> names)
{
    read_logs all;
    for (std::string const& name : names)
    {
        for (files::path const& file : list_files(name))
            log_file(file, all).read();
    }
    return all;
}

} // namespace cairnhead
