#ifndef POLLENRING_ADMISSION_FWD_H_
#define POLLENRING_ADMISSION_FWD_H_

namespace pollenring {

class Admission;
class ColdStartLimiter;
class ConcurrencyLimit;
class FairQueue;
class ShedLevels;
class TargetCapacity;
struct ColdStartHeadroom;
struct ColdStartLimit;
struct AdmissionRequest;
struct KindTime;
struct TargetLoad;

}  // namespace pollenring

#endif  // POLLENRING_ADMISSION_FWD_H_
