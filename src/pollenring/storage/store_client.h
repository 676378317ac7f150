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
 * Derives from the response, or its absence, whether the call was performed.
 * Callers encode the requests.
 */
class StoreClient {
 public:
  using Reply = Result<HttpResponse, StorageError>;
  using Done = std::function<void(Reply)>;

  /**
   * @brief Creates a client.
   * @param client HTTP client.
   * @param address The store's address.
   */
  StoreClient(HttpClient &client, const Address &address)
      : client{client}, address{address} {}

  /**
   * @brief Performs a call.
   * @param request The call.
   * @param wait Maximum time that the store holds the call before it responds.
   * @param done Called once; `kUnavailable` if the call was not performed,
   * `kUnknown` if it may have been, or may be later.
   */
  void Call(const HttpRequest &request, Duration wait, Done done);

 private:
  HttpClient &client;
  Address address;
};

}  // namespace pollenring

#endif  // POLLENRING_STORAGE_STORE_CLIENT_H_
