#ifndef POLLENRING_QUARANTINE_FWD_H_
#define POLLENRING_QUARANTINE_FWD_H_

namespace pollenring {

class Quarantine;
class RequestFingerprinter;
struct CrashReport;

}  // namespace pollenring

#endif  // POLLENRING_QUARANTINE_FWD_H_
