#ifndef POLLENRING_LOG_PROCESS_END_H_
#define POLLENRING_LOG_PROCESS_END_H_

namespace pollenring {

/**
 * @brief Makes the process flush its log before an uncaught error or a failed
 * assertion ends it; an uncaught error is logged first.
 *
 * To be called once, after `SetUpLog`. The process still ends with SIGABRT.
 */
void LogProcessEnd();

}  // namespace pollenring

#endif  // POLLENRING_LOG_PROCESS_END_H_
