#include "pollenring/storage/store_client.h"

#include <utility>

namespace pollenring {
namespace {

/*! @brief Maximum wait beyond the time that the store holds a call. Calls take
 * a few milliseconds, and a few hundred when the store is slow. */
constexpr Duration kResponseTimeout = std::chrono::milliseconds{800};
constexpr int kTooManyRequests = 429;
constexpr int kFirstServerError = 500;
constexpr int kServiceUnavailable = 503;

}  // namespace

void StoreClient::Call(const HttpRequest &request, Duration wait, Done done) {
  this->client.Call(this->address, request, wait + kResponseTimeout,
                    [done = std::move(done)](HttpClient::Reply reply) {
                      if (const auto *error = std::get_if<CallError>(&reply)) {
                        done(WasNotSent(*error) ? StorageError::kUnavailable
                                                : StorageError::kUnknown);
                        return;
                      }
                      auto &response = std::get<HttpResponse>(reply);
                      if (response.status == kServiceUnavailable ||
                          response.status == kTooManyRequests) {
                        done(StorageError::kUnavailable);
                        return;
                      }
                      if (response.status >= kFirstServerError) {
                        done(StorageError::kUnknown);
                        return;
                      }
                      done(std::move(response));
                    });
}

}  // namespace pollenring
