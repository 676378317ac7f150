#ifndef POLLENRING_LOG_PROCESS_END_H_
#define POLLENRING_LOG_PROCESS_END_H_

namespace pollenring {

/**
 * @brief Has the process write its log, and why it ends, before an uncaught
 * error or a failed assertion ends it.
 *
 * Call it once, after `SetUpLog`. The process still ends with SIGABRT.
 */
void LogProcessEnd();

}  // namespace pollenring

#endif  // POLLENRING_LOG_PROCESS_END_H_
