#ifndef POLLENRING_ONCE_FWD_H_
#define POLLENRING_ONCE_FWD_H_

namespace pollenring {

class OnceLedger;
class OnceMirror;
struct OnceLog;
struct OnceRecord;

}  // namespace pollenring

#endif  // POLLENRING_ONCE_FWD_H_
