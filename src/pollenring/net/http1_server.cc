#include "pollenring/net/http1_server.h"

#include <utility>

#include "pollenring/net/buffer_budget.h"
#include "pollenring/net/loop.h"

namespace pollenring::internal {
namespace {

/*! @brief Interval between checks of all connections. A hang-up is handled when
 * the request is that old. */
constexpr Duration kSweepInterval = std::chrono::milliseconds{100};

}  // namespace

Http1Server::Http1Server(Loop &loop, const HttpServerLimits &limits,
                         ServerConnections &connections,
                         const HttpServer::Handler &handler,
                         TakeHttp2 take_http2, std::function<void()> enforce)
    : loop{loop},
      limits{limits},
      sockets{connections},
      handler{handler},
      take_http2{std::move(take_http2)},
      enforce{std::move(enforce)} {
  const std::weak_ptr<bool> weak_alive = this->alive;
  loop.Every(kSweepInterval, [this, weak_alive] {
    if (!weak_alive.expired()) this->Sweep();
  });
}

Http1Server::~Http1Server() {
  while (!this->connections.empty()) this->connections.front()->Abandon();
}

void Http1Server::Accept(st_h2o_socket_t *sock) {
  this->connections.push_back(std::make_unique<Http1Connection>(*this, sock));
  Http1Connection &connection = *this->connections.back();
  connection.place = std::prev(this->connections.end());
  if (connection.BudgetId() != 0)
    this->by_budget_id.emplace(connection.BudgetId(), &connection);
}

void Http1Server::Remove(Http1Connection &connection) {
  if (connection.BudgetId() != 0) {
    this->by_budget_id.erase(connection.BudgetId());
    this->limits.budget->Close(connection.BudgetId());
  }
  if (this->removed.empty()) {
    this->loop.Post([this, weak_alive = std::weak_ptr<bool>{this->alive}] {
      if (!weak_alive.expired()) this->removed.clear();
    });
  }
  this->removed.splice(this->removed.end(), this->connections,
                       connection.place);
}

void Http1Server::ScheduleEnforce() {
  if (std::exchange(this->enforce_scheduled, true)) return;
  this->loop.Post([this, weak_alive = std::weak_ptr<bool>{this->alive}] {
    if (weak_alive.expired()) return;
    this->enforce_scheduled = false;
    this->enforce();
  });
}

void Http1Server::Evict(const Eviction &eviction) {
  const auto found = this->by_budget_id.find(eviction.id);
  if (found == this->by_budget_id.end()) return;
  if (eviction.reason == EvictionReason::kReceiving) {
    found->second->EvictReceiving();
  } else {
    found->second->Reset();
  }
}

void Http1Server::Sweep() {
  const Time now = this->loop.GetClock().Now();
  for (auto it = this->connections.begin(); it != this->connections.end();) {
    Http1Connection &connection = **it++;
    connection.Sweep(now);
  }
  if (this->limits.budget != nullptr) this->enforce();
}

}  // namespace pollenring::internal
