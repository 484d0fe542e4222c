#include "child_process.hpp"

#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>

extern char** environ;

namespace cairnhead::measure
{

namespace
{

/// Fields of /proc/PID/stat between the program's name and `utime`.
constexpr int fields_before_user_time = 11;
constexpr mode_t output_mode = 0600;

} // namespace

child_process::child_process(
    std::vector<std::string> command, std::filesystem::path const& output)
{
    std::vector<char*> words;
    words.reserve(command.size() + 1);
    for (std::string& word : command)
        words.push_back(word.data());
    words.push_back(nullptr);
    posix_spawn_file_actions_t actions{};
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_addopen(
        &actions, STDOUT_FILENO, output.c_str(), O_WRONLY | O_CREAT | O_TRUNC,
        output_mode);
    ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    int const fault = ::posix_spawn(
        &this->process, words.front(), &actions, nullptr, words.data(),
        environ);
    ::posix_spawn_file_actions_destroy(&actions);
    if (fault != 0)
        throw std::system_error(
            fault, std::generic_category(), command.front());
}

child_process::~child_process()
{
    ::kill(this->process, SIGKILL);
    ::waitpid(this->process, nullptr, 0);
}

duration child_process::processor_time() const
{
    std::ifstream file("/proc/" + std::to_string(this->process) + "/stat");
    std::string text;
    std::getline(file, text);
    // The program's name may hold blanks; it ends with the last parenthesis.
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    std::string skipped;
    for (int field = 0; field < fields_before_user_time; ++field)
        fields >> skipped;
    std::int64_t user = 0;
    std::int64_t kernel = 0;
    fields >> user >> kernel;
    return std::chrono::nanoseconds(std::chrono::seconds(1)) * (user + kernel) /
           ::sysconf(_SC_CLK_TCK);
}

} // namespace cairnhead::measure
