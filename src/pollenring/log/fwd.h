#ifndef POLLENRING_LOG_FWD_H_
#define POLLENRING_LOG_FWD_H_

namespace pollenring {

enum class LogLevel;

}  // namespace pollenring

#endif  // POLLENRING_LOG_FWD_H_
