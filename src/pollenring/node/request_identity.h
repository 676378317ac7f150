#ifndef POLLENRING_NODE_REQUEST_IDENTITY_H_
#define POLLENRING_NODE_REQUEST_IDENTITY_H_

#include <string_view>

#include "pollenring/node/wire.h"
#include "pollenring/quarantine/fingerprint.h"

namespace pollenring {

/**
 * @brief Determines what makes a call like others.
 *
 * Of a call without a key only the calling service is certain; its workspace is
 * that of a parent which may have been guessed.
 * @param envelope The call.
 * @param body Its body.
 * @return The identity, which refers to both.
 */
[[nodiscard]] inline RequestIdentity IdentityOf(const CallEnvelope &envelope,
                                                std::string_view body) {
  const bool keyed = envelope.authenticated && !envelope.workspace.empty();
  return {keyed ? envelope.workspace : envelope.caller,
          keyed,
          envelope.method,
          envelope.host,
          envelope.path,
          body};
}

}  // namespace pollenring

#endif  // POLLENRING_NODE_REQUEST_IDENTITY_H_
