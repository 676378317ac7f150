#include "pollenring/log/process_end.h"

#include <cxxabi.h>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <string>

#include "pollenring/log/log.h"

namespace pollenring {
namespace {

[[nodiscard]] std::string TypeOfCurrentError() {
  const std::type_info *type = abi::__cxa_current_exception_type();
  if (type == nullptr) return "none";
  int failure = 0;
  char *readable =
      abi::__cxa_demangle(type->name(), nullptr, nullptr, &failure);
  std::string name{failure == 0 ? readable : type->name()};
  std::free(readable);
  return name;
}

[[nodiscard]] std::string TextOfCurrentError() {
  const std::exception_ptr error = std::current_exception();
  if (!error) return {};
  try {
    std::rethrow_exception(error);
  } catch (const std::exception &known) {
    return known.what();
  } catch (...) {
    return "not a std::exception";
  }
}

[[noreturn]] void OnTerminate() {
  LogEvent(LogLevel::kError, "ended by an error",
           {{"type", TypeOfCurrentError()}, {"why", TextOfCurrentError()}});
  FlushLog();
  std::abort();
}

void OnAbort(int number) {
  FlushLog();
  std::signal(number, SIG_DFL);
  std::raise(number);
}

}  // namespace

void LogProcessEnd() {
  std::set_terminate(&OnTerminate);
  std::signal(SIGABRT, &OnAbort);
}

}  // namespace pollenring
