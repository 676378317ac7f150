#ifndef POLLENRING_CORE_FWD_H_
#define POLLENRING_CORE_FWD_H_

namespace pollenring {

class Clock;
class Random;
class ManualClock;
class SeededRandom;
struct Diagnostic;
enum class Outcome;
enum class Importance;

}  // namespace pollenring

#endif  // POLLENRING_CORE_FWD_H_
