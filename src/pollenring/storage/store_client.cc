#include "pollenring/storage/store_client.h"

#include <utility>

#include "pollenring/log/log.h"

namespace pollenring {
namespace {

constexpr Duration kLogInterval = std::chrono::seconds{1};
constexpr int kTooManyRequests = 429;
constexpr int kFirstServerError = 500;
constexpr int kServiceUnavailable = 503;

}  // namespace

void StoreClient::Call(const HttpRequest &request, Duration wait, Done done) {
  const Pending call{request.path.substr(0, request.path.find('?')),
                     this->clock.Now(), this->timeout.Limit(),
                     wait > Duration{0}};
  this->client.Call(
      this->address, request, wait + call.limit,
      [this, call, done = std::move(done)](HttpClient::Reply reply) {
        if (const auto *error = std::get_if<CallError>(&reply)) {
          if (*error == CallError::kTimedOut) this->RecordTimeout(call);
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
        if (!call.held)
          this->timeout.Answered(this->clock.Now() - call.sent_at);
        done(std::move(response));
      });
}

void StoreClient::RecordTimeout(const Pending &call) {
  this->timeout.TimedOut(call.limit);
  ++this->timeouts;
  const Time now = this->clock.Now();
  if (this->timeouts > 1 && now - this->logged_at < kLogInterval) return;
  this->logged_at = now;
  LogEvent(LogLevel::kWarning, "store call timed out",
           {{"path", call.path},
            {"took_ms", (now - call.sent_at).count() / 1000},
            {"next_limit_ms", this->timeout.Limit().count() / 1000},
            {"timeouts", this->timeouts}});
}

}  // namespace pollenring
