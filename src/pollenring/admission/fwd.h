#ifndef POLLENRING_ADMISSION_FWD_H_
#define POLLENRING_ADMISSION_FWD_H_

namespace pollenring {

class Admission;
class ColdStartLimiter;
class ConcurrencyLimit;
class FairQueue;
class ShedLevels;
struct ColdStartHeadroom;
struct ColdStartLimit;
struct AdmissionRequest;

}  // namespace pollenring

#endif  // POLLENRING_ADMISSION_FWD_H_
