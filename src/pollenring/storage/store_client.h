#ifndef POLLENRING_STORAGE_STORE_CLIENT_H_
#define POLLENRING_STORAGE_STORE_CLIENT_H_

#include <functional>

#include "pollenring/core/clock.h"
#include "pollenring/core/result.h"
#include "pollenring/net/address.h"
#include "pollenring/net/http_client.h"
#include "pollenring/storage/storage.h"

namespace pollenring {

/**
 * @brief Calls a store over HTTP.
 *
 * Knows what an answer, or none, says of whether the call was performed; the
 * form of calls is left to its users.
 */
class StoreClient {
 public:
  using Reply = Result<HttpResponse, StorageError>;
  using Done = std::function<void(Reply)>;

  /**
   * @brief Creates a client.
   * @param client Connections.
   * @param address The store's address.
   */
  StoreClient(HttpClient &client, const Address &address)
      : client{client}, address{address} {}

  /**
   * @brief Performs a call.
   * @param request The call.
   * @param wait How long the store may hold it before it answers.
   * @param done Called once; `kUnavailable` when nothing was done, `kUnknown`
   * when it may have been, now or later.
   */
  void Call(const HttpRequest &request, Duration wait, Done done);

 private:
  HttpClient &client;
  Address address;
};

}  // namespace pollenring

#endif  // POLLENRING_STORAGE_STORE_CLIENT_H_
