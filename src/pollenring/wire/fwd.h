#ifndef POLLENRING_WIRE_FWD_H_
#define POLLENRING_WIRE_FWD_H_

#include <cstdint>

namespace pollenring {

class PeerVersions;
class UnreadableLog;
struct PeerWire;
enum class WireVersion : std::uint8_t;

}  // namespace pollenring

#endif  // POLLENRING_WIRE_FWD_H_
