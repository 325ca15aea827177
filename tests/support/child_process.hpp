// A child process that a test starts and terminates.
#pragma once

#include <csignal>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace trefoil {

/// Runs one child process. The destructor kills it, even if it is stopped. Standard output and
/// standard error are appended to a file.
class child_process {
public:
    /// Starts the program. Throws std::runtime_error if that fails.
    child_process(std::vector<std::string> arguments, const std::string& log_file) {
        std::vector<char*> argv;
        for (auto& argument : arguments) {
            argv.push_back(argument.data());
        }
        argv.push_back(nullptr);
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log_file.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
        const int error = posix_spawn(&pid_, argv[0], &files, nullptr, argv.data(), environ);
        posix_spawn_file_actions_destroy(&files);
        if (error != 0) {
            throw std::runtime_error("cannot start " + arguments.front());
        }
    }

    ~child_process() {
        if (is_running()) {
            ::kill(pid_, SIGCONT);
            ::kill(pid_, SIGKILL);
            wait();
        }
    }

    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    pid_t pid() const { return pid_; }

    void signal(int number) const { ::kill(pid_, number); }

    bool is_running() {
        if (status_) {
            return false;
        }
        int status = 0;
        if (::waitpid(pid_, &status, WNOHANG) == pid_) {
            status_ = status;
            return false;
        }
        return true;
    }

    /// Waits until the process terminates. Returns its exit code, or -1 if a signal terminated it.
    int wait() {
        if (!status_) {
            int status = 0;
            ::waitpid(pid_, &status, 0);
            status_ = status;
        }
        return WIFEXITED(*status_) ? WEXITSTATUS(*status_) : -1;
    }

    /// Returns the signal that terminated the process, or 0 if it exited or its termination has not
    /// been observed by wait() or is_running().
    int ending_signal() const { return status_ && WIFSIGNALED(*status_) ? WTERMSIG(*status_) : 0; }

private:
    pid_t pid_ = 0;
    std::optional<int> status_;
};

} // namespace trefoil
