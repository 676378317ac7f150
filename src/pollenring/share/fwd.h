#ifndef POLLENRING_SHARE_FWD_H_
#define POLLENRING_SHARE_FWD_H_

namespace pollenring {

class ShareBorrower;
class ShareLender;
class ShareDelegate;
struct BorrowReply;
struct BorrowRequest;

}  // namespace pollenring

#endif  // POLLENRING_SHARE_FWD_H_
