#ifndef POLLENRING_STORAGE_STORE_CLIENT_H_
#define POLLENRING_STORAGE_STORE_CLIENT_H_

#include <cstdint>
#include <functional>
#include <string>

#include "pollenring/core/clock.h"
#include "pollenring/core/result.h"
#include "pollenring/net/address.h"
#include "pollenring/net/http_client.h"
#include "pollenring/storage/storage.h"
#include "pollenring/storage/store_timeout.h"

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
   * @param timeout Time limit of calls; learns from them.
   * @param clock Clock.
   */
  StoreClient(HttpClient &client, const Address &address, StoreTimeout &timeout,
              const Clock &clock)
      : client{client}, address{address}, timeout{timeout}, clock{clock} {}

  /**
   * @brief Performs a call.
   * @param request The call.
   * @param wait Maximum time that the store holds the call before it responds.
   * @param done Called once; `kUnavailable` if the call was not performed,
   * `kUnknown` if it may have been, or may be later.
   */
  void Call(const HttpRequest &request, Duration wait, Done done);

 private:
  /*! @brief A call in progress. */
  struct Pending {
    std::string path; /*!< Without its query. */
    Time sent_at{};
    Duration limit{}; /*!< Beyond the time that the store holds the call. */
    bool held{};      /*!< The store holds it before it responds. */
  };

  void RecordTimeout(const Pending &call);

  HttpClient &client;
  Address address;
  StoreTimeout &timeout;
  const Clock &clock;
  Time logged_at{};
  std::uint64_t timeouts{};
};

}  // namespace pollenring

#endif  // POLLENRING_STORAGE_STORE_CLIENT_H_
