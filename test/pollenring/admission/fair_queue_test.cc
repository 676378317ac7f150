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

/*! @brief Least part of its due that a workspace may be served. */
constexpr double kLeastOfDue = 0.95;

/*! @brief A workspace that asks for more than its due all the time. */
struct Asker {
  std::string name;
  double weight{};
  double asked_per_turn{}; /*!< Requests while one request is served. */
  std::uint64_t served{};
};

}  // namespace

TEST_CASE("fair queue: small workspaces get their due among large ones") {
  for (const auto seed : support::Seeds(6)) {
    INFO("seed " << seed);
    SeededRandom random{seed};
    std::vector<Asker> askers{{"large", 200, 3, 0}, {"middle", 150, 1, 0}};
    double weights = 350;
    for (int i = 0; i < 8; ++i) {
      askers.push_back({"small" + std::to_string(i), 10, 0, 0});
      weights += 10;
    }
    // Twice its due, one request at a time and at random moments.
    for (auto &asker : askers) {
      if (asker.weight > 10) continue;
      asker.asked_per_turn = 2 * asker.weight / weights;
    }
    FairQueue queue;
    std::uint64_t id = 0;
    constexpr int kTurns = 40'000;
    constexpr std::size_t kRoom = 16;
    for (int turn = 0; turn < kTurns; ++turn) {
      for (auto &asker : askers) {
        // A hundred moments in each turn, so that arrivals are random.
        for (int moment = 0; moment < 100; ++moment) {
          if (!random.Chance(asker.asked_per_turn / 100)) continue;
          AdmissionRequest ticket;
          ticket.id = ++id;
          ticket.weight = asker.weight;
          ticket.workspace = asker.name;
          ticket.root_started = Time{static_cast<std::int64_t>(id)};
          ticket.deadline = Time::max();
          queue.Push(ticket);
          if (queue.Size() > kRoom) static_cast<void>(queue.PopWorst());
        }
      }
      const auto next = queue.Pop();
      if (!next) continue;
      for (auto &asker : askers) {
        if (asker.name == next->workspace) ++asker.served;
      }
    }
    for (const auto &asker : askers) {
      const double due = kTurns * asker.weight / weights;
      INFO(asker.name << " served " << asker.served << " of " << due);
      CHECK(static_cast<double>(asker.served) / due >= kLeastOfDue);
    }
  }
}
