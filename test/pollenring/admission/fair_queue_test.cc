#include "pollenring/admission/fair_queue.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "pollenring/core/random.h"
#include "support/seeds.h"

namespace {

using pollenring::AdmissionRequest;
using pollenring::Duration;
using pollenring::FairQueue;
using pollenring::SeededRandom;
using pollenring::Time;

/*! @brief Minimum fraction of its due that a workspace must be served. */
constexpr double kLeastOfDue = 0.95;

/*! @brief A workspace that always requests more than its due. */
struct Requester {
  std::string name;
  double weight{};
  double requests_per_turn{}; /*!< Requests per served request. */
  std::uint64_t served{};
};

}  // namespace

TEST_CASE("fair queue: small workspaces get their due among large ones") {
  for (const auto seed : support::Seeds(6)) {
    INFO("seed " << seed);
    SeededRandom random{seed};
    std::vector<Requester> requesters{{"large", 200, 3, 0},
                                      {"middle", 150, 1, 0}};
    double weights = 350;
    for (int i = 0; i < 8; ++i) {
      requesters.push_back({"small" + std::to_string(i), 10, 0, 0});
      weights += 10;
    }
    // Twice its due, one request at a time, at random moments.
    for (auto &requester : requesters) {
      if (requester.weight > 10) continue;
      requester.requests_per_turn = 2 * requester.weight / weights;
    }
    FairQueue queue;
    std::uint64_t id = 0;
    constexpr int kTurns = 40'000;
    constexpr std::size_t kQueueLimit = 16;
    for (int turn = 0; turn < kTurns; ++turn) {
      for (auto &requester : requesters) {
        // 100 steps per turn, so that arrivals are random.
        for (int moment = 0; moment < 100; ++moment) {
          if (!random.Chance(requester.requests_per_turn / 100)) continue;
          AdmissionRequest request;
          request.id = ++id;
          request.weight = requester.weight;
          request.workspace = requester.name;
          request.root_started = Time{static_cast<std::int64_t>(id)};
          request.deadline = Time::max();
          queue.Push(request);
          if (queue.Size() > kQueueLimit) static_cast<void>(queue.PopWorst());
        }
      }
      const auto next = queue.Pop();
      if (!next) continue;
      for (auto &requester : requesters) {
        if (requester.name == next->workspace) ++requester.served;
      }
    }
    for (const auto &requester : requesters) {
      const double due = kTurns * requester.weight / weights;
      INFO(requester.name << " served " << requester.served << " of " << due);
      CHECK(static_cast<double>(requester.served) / due >= kLeastOfDue);
    }
  }
}
