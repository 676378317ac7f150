#include "pollenring/log/process_end.h"

#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <string>
#include <vector>

#include "pollenring/log/log.h"

namespace {

/*! @brief The signal that ended a process, and its output. */
struct EndedProcess {
  int signal{};
  std::string output;
};

[[nodiscard]] EndedProcess EndBy(void (*act)()) {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  const pid_t child = fork();
  REQUIRE(child >= 0);
  if (child == 0) {
    dup2(ends[1], STDOUT_FILENO);
    pollenring::SetUpLog("test", pollenring::LogLevel::kInfo);
    pollenring::LogProcessEnd();
    pollenring::LogEvent(pollenring::LogLevel::kInfo, "before the end");
    act();
    std::_Exit(EXIT_SUCCESS);
  }
  close(ends[1]);
  EndedProcess ended;
  std::array<char, 4096> part{};
  for (ssize_t size = 0;
       (size = read(ends[0], part.data(), part.size())) > 0;) {
    ended.output.append(part.data(), static_cast<std::size_t>(size));
  }
  close(ends[0]);
  int status = 0;
  REQUIRE(waitpid(child, &status, 0) == child);
  ended.signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
  return ended;
}

void ThrowUncaught() noexcept { static_cast<void>(std::vector<int>{}.at(3)); }

}  // namespace

TEST_CASE("process end: an uncaught error is the last line of the log") {
  const EndedProcess ended = EndBy(&ThrowUncaught);
  CHECK(ended.signal == SIGABRT);
  CHECK(ended.output.find("before the end") != std::string::npos);
  CHECK(ended.output.find("ended by an error") != std::string::npos);
  CHECK(ended.output.find("std::out_of_range") != std::string::npos);
  CHECK(ended.output.find("vector::_M_range_check") != std::string::npos);
}

TEST_CASE("process end: a failed assertion loses no log line") {
  const EndedProcess ended = EndBy(&std::abort);
  CHECK(ended.signal == SIGABRT);
  CHECK(ended.output.find("before the end") != std::string::npos);
}
