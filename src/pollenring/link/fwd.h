#ifndef POLLENRING_LINK_FWD_H_
#define POLLENRING_LINK_FWD_H_

namespace pollenring {

class LinkClient;
class LinkServer;
class LinkResponder;
enum class LinkError;

}  // namespace pollenring

#endif  // POLLENRING_LINK_FWD_H_
