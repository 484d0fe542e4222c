#include "child_process.hpp"

#include "wait_until.hpp"

#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <sys/wait.h>
#include <system_error>
#include <utility>

extern char** environ;

namespace cairnhead::thin_path
{

namespace
{

constexpr pid_t no_process = -1;
constexpr mode_t readable_by_owner = 0600;

/// The signal mask of the test program is not the child's business.
class spawn_attributes
{
public:
    spawn_attributes()
    {
        ::posix_spawnattr_init(&this->attributes);
        sigset_t none;
        ::sigemptyset(&none);
        ::posix_spawnattr_setsigmask(&this->attributes, &none);
        ::posix_spawnattr_setflags(&this->attributes, POSIX_SPAWN_SETSIGMASK);
    }

    spawn_attributes(spawn_attributes const&) = delete;
    spawn_attributes& operator=(spawn_attributes const&) = delete;

    ~spawn_attributes()
    {
        ::posix_spawnattr_destroy(&this->attributes);
    }

    posix_spawnattr_t attributes{};
};

/// Sends standard output and standard error to a file.
class spawn_output
{
public:
    explicit spawn_output(std::filesystem::path const& path)
    {
        ::posix_spawn_file_actions_init(&this->actions);
        ::posix_spawn_file_actions_addopen(
            &this->actions, STDOUT_FILENO, path.c_str(),
            O_WRONLY | O_CREAT | O_APPEND, readable_by_owner);
        ::posix_spawn_file_actions_adddup2(
            &this->actions, STDOUT_FILENO, STDERR_FILENO);
    }

    spawn_output(spawn_output const&) = delete;
    spawn_output& operator=(spawn_output const&) = delete;

    ~spawn_output()
    {
        ::posix_spawn_file_actions_destroy(&this->actions);
    }

    posix_spawn_file_actions_t actions{};
};

pid_t start(
    std::vector<std::string>& command, std::filesystem::path const& path)
{
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (std::string& word : command)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    spawn_attributes const attributes;
    spawn_output const output(path);
    pid_t started = no_process;
    int const failure = ::posix_spawn(
        &started, arguments.front(), &output.actions, &attributes.attributes,
        arguments.data(), environ);
    if (failure != 0)
        throw std::system_error(failure, std::generic_category());
    return started;
}

} // namespace

child_process::child_process(
    std::vector<std::string> command, std::filesystem::path output)
    : output_path(std::move(output)), process(start(command, this->output_path))
{
}

child_process::child_process(child_process&& other) noexcept
    : output_path(std::move(other.output_path)),
      process(std::exchange(other.process, no_process)),
      exit_status(other.exit_status)
{
}

child_process::~child_process()
{
    this->signal(SIGKILL);
    if (this->process != no_process)
        ::waitpid(this->process, nullptr, 0);
}

void child_process::wait_for_output(std::string const& text)
{
    wait_until(
        this->output_path.string() + " has " + text,
        [&]
        {
            if (this->output().find(text) != std::string::npos)
                return true;
            cr_assert(
                !this->has_ended(), "ended early: %s", this->output().c_str());
            return false;
        });
}

void child_process::signal(int number)
{
    if (this->process != no_process)
        ::kill(this->process, number);
}

int child_process::wait_for_exit()
{
    wait_until(
        this->output_path.string() + ": process ends",
        [this]
        {
            return this->has_ended();
        });
    return this->exit_status;
}

std::string child_process::output() const
{
    std::ifstream file(this->output_path);
    return {std::istreambuf_iterator<char>(file), {}};
}

bool child_process::has_ended()
{
    if (this->process == no_process)
        return true;
    int status = 0;
    if (::waitpid(this->process, &status, WNOHANG) != this->process)
        return false;
    this->process = no_process;
    this->exit_status =
        WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    return true;
}

} // namespace cairnhead::thin_path
