#include "command.hpp"
#include "declaration_files.hpp"
#include "error_lines.hpp"
#include "flags.hpp"
#include "text_file.hpp"
#include "usage_error.hpp"

#include <absl/flags/flag.h>
#include <declaration/declaration.hpp>
#include <filesystem>
#include <iostream>
#include <optional>
#include <settings/settings.hpp>
#include <settings/settings_error.hpp>

namespace cairnhead
{

namespace
{

namespace fs = std::filesystem;

exit_code check_settings(fs::path const& path)
{
    std::string const text = read_text_file(path);
    try
    {
        static_cast<void>(parse_settings(text));
    }
    catch (settings_rejected const& rejected)
    {
        write_errors(std::cerr, path.string(), rejected.errors());
        return exit_code::rejected;
    }
    std::cout << path.string() << ": valid settings\n";
    return exit_code::success;
}

/// Checks declarations file by file. An allotment, if there is one, is read
/// first, since the other documents are checked against it.
class declaration_checker
{
public:
    exit_code check(fs::path const& file_or_folder)
    {
        auto const files = find_declaration_files(file_or_folder);
        if (files.allotment.has_value())
            this->check_one(
                *files.allotment, &declaration_checker::read_allotment);
        for (fs::path const& path : files.organisations)
            this->check_one(path, &declaration_checker::read_organisation);
        return this->outcome;
    }

private:
    using file_reader = void (declaration_checker::*)(fs::path const& path);

    void check_one(fs::path const& path, file_reader read)
    {
        try
        {
            (this->*read)(path);
        }
        catch (declaration_rejected const& rejected)
        {
            write_errors(std::cerr, path.string(), rejected.errors());
            this->outcome = exit_code::rejected;
            return;
        }
        std::cout << path.string() << ": valid declarations\n";
    }

    void read_allotment(fs::path const& path)
    {
        this->allotted = parse_allotment(read_text_file(path));
    }

    /// In a folder, the file's name is the name under which it is published.
    static void
    check_file_name(fs::path const& path, organisation_document const& document)
    {
        bool const is_named = path.stem() == document.organisation;
        if (is_named || path.parent_path().filename() != "organisations")
            return;
        throw declaration_rejected(
            {{declaration_error_kind::wrong_organisation, 0, 0,
              document.organisation}});
    }

    void read_organisation(fs::path const& path)
    {
        auto const document = parse_organisation(read_text_file(path));
        check_file_name(path, document);
        if (!this->allotted.has_value())
            return;
        auto errors = check_against_allotment(document, *this->allotted);
        if (!errors.empty())
            throw declaration_rejected(std::move(errors));
    }

    std::optional<allotment> allotted;
    exit_code outcome = exit_code::success;
};

} // namespace

exit_code check_files(operand_list)
{
    std::string const settings = absl::GetFlag(FLAGS_settings);
    std::string const declarations = absl::GetFlag(FLAGS_declarations);
    if (settings.empty() && declarations.empty())
        throw usage_error(
            usage_error_kind::missing_flag, "--settings or --declarations");
    if (!settings.empty() && !declarations.empty())
        throw usage_error(
            usage_error_kind::conflicting_flags,
            "--settings and --declarations");
    if (!settings.empty())
        return check_settings(settings);
    return declaration_checker().check(declarations);
}

} // namespace cairnhead
