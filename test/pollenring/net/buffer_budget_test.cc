#include "pollenring/net/buffer_budget.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <vector>

#include "pollenring/core/random.h"

namespace {

using namespace std::chrono_literals;
using pollenring::BufferBudget;
using pollenring::BufferRole;
using pollenring::Eviction;
using pollenring::EvictionReason;
using Id = BufferBudget::ConnectionId;

constexpr std::size_t kKilobyte = 1024;

/*! @brief Bytes that the model holds for a connection. */
struct Held {
  std::size_t receiving{};
  std::size_t held{};
  std::size_t unread{};
  [[nodiscard]] std::size_t Total() const {
    return this->receiving + this->held + this->unread;
  }
};

/*! @brief A budget and random callers that use it as a server does. */
struct Crowd {
  explicit Crowd(std::uint64_t seed)
      : random{seed},
        max_bytes{kKilobyte * (200 + this->random.Index(20000))},
        budget{{max_bytes, kKilobyte * (10 + this->random.Index(20000))},
               clock} {}

  Id Open() {
    const Id id = this->budget.Open();
    this->callers[id];
    return id;
  }

  /*! @brief Applies the decisions and checks each victim and the account. */
  void Enforce() {
    for (const Eviction &eviction : this->Decide()) {
      this->budget.Close(eviction.id);
      this->callers.erase(eviction.id);
      this->evicted.push_back(eviction.id);
    }
    std::size_t total = 0;
    for (const auto &[id, held] : this->callers) total += held.Total();
    CHECK(this->budget.Counts().total == total);
    CHECK(total <= this->max_bytes);
  }

  /*! @brief One step of a random caller. */
  void Step() {
    if (this->callers.empty() || this->random.Index(4) == 0) this->Open();
    auto it = this->callers.begin();
    std::advance(it, this->random.Index(this->callers.size()));
    const Id id = it->first;
    Held &held = it->second;
    const std::size_t size = this->random.Index(this->max_bytes / 8) + 1;
    switch (this->random.Index(6)) {
      case 0:
      case 1:
        this->Send(id, size);
        break;
      case 2:
        this->Send(id, 1);
        break;
      case 3:
        held.held += held.receiving;
        held.receiving = 0;
        break;
      case 4:
        held.held = 0;
        held.unread += size;
        break;
      default:
        held.unread /= 2;
    }
    this->Report(id);
    this->clock.Advance(std::chrono::milliseconds{this->random.Index(100)});
    this->Enforce();
  }

  /*! @brief A caller sends, if it is read and its request is not too large. */
  void Send(Id id, std::size_t size) {
    Held &held = this->callers.at(id);
    const std::size_t room = this->budget.MaxRequestBytes() - held.receiving;
    const bool reads = this->budget.MayRead(id) &&
                       held.receiving < this->budget.MaxRequestBytes();
    if (reads) held.receiving += std::min(size, room);
    this->Report(id);
  }

  void Report(Id id) {
    const Held &held = this->callers.at(id);
    this->budget.Set(id, BufferRole::kReceiving, held.receiving);
    this->budget.Set(id, BufferRole::kHeld, held.held);
    this->budget.Set(id, BufferRole::kToCallers, held.unread);
  }

  std::vector<Eviction> Decide() {
    const std::size_t share = this->budget.Share();
    const auto evictable_over = [share](const Held &held) {
      return held.Total() > share && held.Total() > held.held;
    };
    const auto evictions = this->budget.Enforce();
    for (const Eviction &eviction : evictions) {
      if (this->callers.at(eviction.id).Total() > share) continue;
      // One that is over its share must have been taken before.
      for (const auto &[id, held] : this->callers) {
        const bool taken = std::any_of(
            evictions.begin(), evictions.end(),
            [id = id](const Eviction &other) { return other.id == id; });
        if (!taken) CHECK_FALSE(evictable_over(held));
      }
    }
    return evictions;
  }

  pollenring::ManualClock clock;
  pollenring::SeededRandom random;
  std::size_t max_bytes;
  BufferBudget budget;
  std::map<Id, Held> callers;
  std::vector<Id> evicted;
};

}  // namespace

// Guards against an account above its bound, a victim within its share, and a
// crowd of stalled callers that leaves no room for an ordinary request.
TEST_CASE("buffer budget: random crowds leave room for the largest request") {
  for (std::uint64_t seed = 1; seed <= 10000; ++seed) {
    CAPTURE(seed);
    Crowd crowd{seed};
    const std::size_t steps = 10 + crowd.random.Index(80);
    for (std::size_t i = 0; i < steps; ++i) crowd.Step();
    // The requests in progress end; what callers send or read is stuck.
    for (auto &[id, held] : crowd.callers) {
      held.held = 0;
      crowd.Report(id);
    }
    const Id ordinary = crowd.Open();
    const std::size_t size = crowd.budget.MaxRequestBytes();
    for (int turn = 0; turn < 3000; ++turn) {
      crowd.Send(ordinary, size / 16 + 1);
      crowd.Enforce();
      if (crowd.callers.count(ordinary) == 0) break;
      if (crowd.callers.at(ordinary).receiving == size) break;
      crowd.clock.Advance(50ms);
    }
    REQUIRE(crowd.callers.count(ordinary) == 1);
    REQUIRE(crowd.callers.at(ordinary).receiving == size);
  }
}

TEST_CASE("buffer budget: connections over their share wait under pressure") {
  pollenring::ManualClock clock;
  BufferBudget budget{{1000 * kKilobyte, 500 * kKilobyte}, clock};
  const Id stalled = budget.Open();
  const Id ordinary = budget.Open();
  budget.Set(stalled, BufferRole::kReceiving, 400 * kKilobyte);
  CHECK(budget.Enforce().empty());
  CHECK(budget.MayRead(stalled));
  clock.Advance(100ms);
  budget.Set(ordinary, BufferRole::kReceiving, 400 * kKilobyte);
  CHECK(budget.Enforce().empty());
  CHECK(budget.MayRead(ordinary));
  CHECK_FALSE(budget.MayRead(stalled));
  CHECK(budget.Counts().paused == 1);
  budget.Close(ordinary);
  CHECK(budget.MayRead(stalled));
}

TEST_CASE("buffer budget: the largest and slowest response is cut off first") {
  pollenring::ManualClock clock;
  BufferBudget budget{{1000 * kKilobyte, 200 * kKilobyte}, clock};
  const Id slow = budget.Open();
  const Id reading = budget.Open();
  const Id small = budget.Open();
  budget.Set(slow, BufferRole::kToCallers, 450 * kKilobyte);
  budget.Set(reading, BufferRole::kToCallers, 450 * kKilobyte);
  budget.Set(small, BufferRole::kToCallers, kKilobyte);
  clock.Advance(10s);
  budget.Set(reading, BufferRole::kToCallers, 400 * kKilobyte);
  budget.SetShared(BufferRole::kFromTargets, 200 * kKilobyte);
  const auto evictions = budget.Enforce();
  REQUIRE(evictions.size() == 1);
  CHECK(evictions.front().id == slow);
  CHECK(evictions.front().reason == EvictionReason::kToCallers);
  // Each is returned once; its bytes are counted until it is closed.
  CHECK(budget.Enforce().empty());
  CHECK(budget.Counts().bytes[4] == 851 * kKilobyte);
  budget.Close(slow);
  CHECK(budget.Counts().total == 601 * kKilobyte);
}

TEST_CASE("buffer budget: single bytes are no progress of a large buffer") {
  pollenring::ManualClock clock;
  BufferBudget budget{{1000 * kKilobyte, 200 * kKilobyte}, clock};
  const Id trickling = budget.Open();
  const Id steady = budget.Open();
  budget.Set(trickling, BufferRole::kReceiving, 300 * kKilobyte);
  budget.Set(steady, BufferRole::kReceiving, 300 * kKilobyte);
  for (std::size_t i = 1; i <= 10; ++i) {
    clock.Advance(1s);
    budget.Set(trickling, BufferRole::kReceiving, 300 * kKilobyte + i);
    budget.Set(steady, BufferRole::kReceiving, (300 + 20 * i) * kKilobyte);
  }
  budget.SetShared(BufferRole::kToNodes, 300 * kKilobyte);
  const auto evictions = budget.Enforce();
  REQUIRE(evictions.size() == 1);
  CHECK(evictions.front().id == trickling);
  CHECK(budget.AdmitRequest());
}
