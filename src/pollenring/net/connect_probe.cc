#include "pollenring/net/connect_probe.h"

#include <memory>
#include <utility>

#include "pollenring/net/h2o_api.h"

namespace pollenring {
namespace {

/*! @brief One probe; owns itself until it has a result. */
class ConnectProbe {
 public:
  ConnectProbe(Loop &loop, std::function<void(ProbeResult)> done)
      : loop{loop}, done{std::move(done)} {}

  void Start(const Address &to, Duration timeout) {
    sockaddr_in native = to.Native();
    this->sock = h2o_socket_connect(
        this->loop.Native(), reinterpret_cast<sockaddr *>(&native),
        sizeof(native), [](h2o_socket_t *connected, const char *error) {
          static_cast<ConnectProbe *>(connected->data)
              ->Finish(error == nullptr ? ProbeResult::kAccepted
                                        : ProbeResult::kRefused);
        });
    if (this->sock == nullptr) {
      this->Finish(ProbeResult::kNoResponse);
      return;
    }
    this->sock->data = this;
    this->timer = this->loop.After(
        timeout, [this] { this->Finish(ProbeResult::kNoResponse); });
  }

 private:
  void Finish(ProbeResult result) {
    const std::unique_ptr<ConnectProbe> self{this};
    this->loop.Cancel(this->timer);
    if (this->sock != nullptr) h2o_socket_close(this->sock);
    this->loop.Post([done = std::move(this->done), result] { done(result); });
  }

  Loop &loop;
  std::function<void(ProbeResult)> done;
  h2o_socket_t *sock{};
  Loop::TimerId timer{};
};

}  // namespace

void ProbeConnect(Loop &loop, const Address &to, Duration timeout,
                  std::function<void(ProbeResult)> done) {
  auto probe = std::make_unique<ConnectProbe>(loop, std::move(done));
  probe.release()->Start(to, timeout);
}

}  // namespace pollenring
