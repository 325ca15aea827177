// A process that a test starts and ends.
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

/// One process; it is ended with this object, whatever its state. What it prints is appended to a
/// file.
class child_process {
public:
    /// Throws std::runtime_error if the program can't be started.
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
            throw std::runtime_error("can't start " + arguments.front());
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

    /// Waits for the end; the exit code, or -1 after a signal.
    int wait() {
        if (!status_) {
            int status = 0;
            ::waitpid(pid_, &status, 0);
            status_ = status;
        }
        return WIFEXITED(*status_) ? WEXITSTATUS(*status_) : -1;
    }

    /// The signal that ended the process; 0 if it ended otherwise or runs.
    int ending_signal() const { return status_ && WIFSIGNALED(*status_) ? WTERMSIG(*status_) : 0; }

private:
    pid_t pid_ = 0;
    std::optional<int> status_;
};

} // namespace trefoil
