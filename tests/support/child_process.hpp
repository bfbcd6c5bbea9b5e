#pragma once

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace test_support
{

/// a process that a test started; killed by the destructor if it still runs
class child_process
{
  public:
    /*!
    @brief starts a program

    @param[in] arguments    path of the program and its arguments
    @param[in] environment  `NAME=value` texts; nothing is inherited
    @param[in] log          file for its output
    */
    child_process(std::vector<std::string> arguments, std::vector<std::string> environment,
                  const std::string& log)
    {
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                         0600);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        const int status = posix_spawn(&m_pid, arguments.front().c_str(), &actions, nullptr,
                                       pointers(arguments).data(), pointers(environment).data());
        posix_spawn_file_actions_destroy(&actions);
        if (status != 0)
        {
            throw std::runtime_error("can't start " + arguments.front());
        }
    }

    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    child_process(child_process&& other) noexcept : m_pid(std::exchange(other.m_pid, no_process))
    {
    }

    child_process& operator=(child_process&& other) noexcept
    {
        std::swap(m_pid, other.m_pid);
        return *this;
    }

    ~child_process()
    {
        if (m_pid != no_process)
        {
            signal(SIGKILL);
            (void)wait();
        }
    }

    /// process id; valid until @ref wait returns
    [[nodiscard]] pid_t id() const noexcept
    {
        return m_pid;
    }

    /// sends a signal
    void signal(int number) const
    {
        ::kill(m_pid, number);
    }

    /// waits for the end of the process; returns the exit code, or -1 after a signal
    int wait()
    {
        int status = 0;
        ::waitpid(m_pid, &status, 0);
        m_pid = no_process;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }

    /// signals the process to stop and waits for it; returns its exit code
    int stop()
    {
        signal(SIGTERM);
        return wait();
    }

  private:
    static constexpr pid_t no_process = -1;

    static std::vector<char*> pointers(std::vector<std::string>& texts)
    {
        std::vector<char*> result;
        result.reserve(texts.size() + 1);
        for (std::string& text : texts)
        {
            result.push_back(text.data());
        }
        result.push_back(nullptr);
        return result;
    }

    pid_t m_pid{no_process};
};

} // namespace test_support
