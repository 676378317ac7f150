#ifndef POLLENRING_TEST_SUPPORT_DAEMON_H_
#define POLLENRING_TEST_SUPPORT_DAEMON_H_

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>
#include <system_error>

#include "pollenring/node/settings.h"

namespace support {

/*! @brief One daemon process that routes by host. */
class Daemon {
 public:
  /**
   * @brief Starts the process.
   * @param settings Settings to write to its file.
   * @param max_descriptors Limit on its descriptors; 0 for the test's own.
   * @param max_memory Limit on its writable memory in bytes, beyond which its
   * allocations fail as on a VM of that size; 0 for the test's own.
   */
  explicit Daemon(const pollenring::Settings &settings,
                  std::size_t max_descriptors = 0, std::size_t max_memory = 0) {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "pollenring-XXXXXX").string();
    this->folder = mkdtemp(pattern.data());
    const std::string path = this->folder + "/settings.toml";
    const std::string log = this->folder + "/log";
    std::ofstream{path} << "[node]\nroutes = \"host\"\nzone = \""
                        << settings.zone << "\"\nregion = \"" << settings.region
                        << "\"\nfirst_start = true\ngrace_s = "
                        << std::chrono::duration<double>{settings.grace}.count()
                        << "\n[listen]\ncallers = \""
                        << settings.callers.Format() << "\"\ntargets = \""
                        << settings.targets.Format() << "\"\nready = \""
                        << settings.ready.Format() << "\"\nnodes = \""
                        << settings.nodes.Format() << "\"\noperators = \""
                        << settings.operators.Format()
                        << "\"\n[target]\nservice = \""
                        << settings.target_service
                        << "\"\n[secrets]\nnodes = \"" << settings.node_secret
                        << "\"\n[platform]\naddress = \""
                        << settings.platform.Format() << "\"\n"
                        << Limits(max_memory);
    const std::string program =
        std::filesystem::read_symlink("/proc/self/exe").parent_path() /
        "pollenringd";
    this->pid = fork();
    if (this->pid != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    if (max_descriptors > 0) {
      const rlimit limit{max_descriptors, max_descriptors};
      setrlimit(RLIMIT_NOFILE, &limit);
    }
    if (max_memory > 0) {
      const rlimit limit{max_memory, max_memory};
      setrlimit(RLIMIT_DATA, &limit);
    }
    execl(program.c_str(), program.c_str(), "--settings", path.c_str(),
          static_cast<char *>(nullptr));
    _exit(127);
  }
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;
  ~Daemon() {
    if (!this->Ended()) {
      kill(this->pid, SIGKILL);
      waitpid(this->pid, nullptr, 0);
    }
    std::filesystem::remove_all(this->folder);
  }

  /*! @brief Sends a signal to the process. */
  void Signal(int number) const { kill(this->pid, number); }

  /*! @return True if the process has ended. */
  [[nodiscard]] bool Ended() {
    if (!this->ended)
      this->ended = waitpid(this->pid, &this->status, WNOHANG) != 0;
    return this->ended;
  }

  /*! @return Exit code of the process; nothing while it runs, or if a signal
   * ended it. */
  [[nodiscard]] std::optional<int> ExitCode() {
    if (!this->Ended() || !WIFEXITED(this->status)) return std::nullopt;
    return WEXITSTATUS(this->status);
  }

  /*! @return Resident memory in bytes; 0 once the process has ended. */
  [[nodiscard]] std::size_t ResidentBytes() const {
    std::ifstream file{"/proc/" + std::to_string(this->pid) + "/statm"};
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
  }

  /*! @return Open descriptors; 0 once the process has ended. */
  [[nodiscard]] std::size_t Descriptors() const {
    std::error_code error;
    const std::filesystem::directory_iterator files{
        "/proc/" + std::to_string(this->pid) + "/fd", error};
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
  }

  /*! @return Standard output and standard error up to this point. */
  [[nodiscard]] std::string Log() const {
    std::ifstream file{this->folder + "/log"};
    return {std::istreambuf_iterator<char>{file}, {}};
  }

 private:
  [[nodiscard]] static std::string Limits(std::size_t max_memory) {
    if (max_memory == 0) return {};
    return "[limits]\nmemory_mb = " + std::to_string(max_memory >> 20U) + "\n";
  }

  std::string folder;
  pid_t pid{};
  int status{};
  bool ended{};
};

}  // namespace support

#endif  // POLLENRING_TEST_SUPPORT_DAEMON_H_
