#include "pollenring/mesh/slot_ring.h"

#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <set>
#include <vector>

#include "support/member_fleet.h"
#include "support/seeds.h"

namespace {

using namespace std::chrono_literals;
using pollenring::ProcessRef;
using pollenring::SlotId;
using pollenring::SlotOrigin;
using pollenring::SlotRing;
using pollenring::SlotRow;
using support::MemberFleet;

/*! @brief Records the slots that a node may lend. */
class Holder final : public pollenring::SlotListener {
 public:
  void SlotGained(SlotId slot, const SlotRow & /*row*/, SlotOrigin /*origin*/,
                  const SlotRow & /*before*/) override {
    this->held.insert(slot);
  }
  void SlotWitnessesChanged(SlotId /*slot*/, const SlotRow & /*row*/) override {
  }
  void SlotHandedOver(SlotId /*slot*/, const SlotRow & /*row*/,
                      const ProcessRef & /*successor*/) override {}
  void SlotLost(SlotId slot) override { this->held.erase(slot); }

  std::set<SlotId> held;
};

/*! @brief A ring at each node of a fleet. */
class Rings {
 public:
  explicit Rings(MemberFleet &fleet) : fleet{fleet} {
    for (int i = 0; i < fleet.Size(); ++i) {
      this->rings.push_back(
          std::make_unique<SlotRing>(*fleet.At(i), fleet.clock, true));
      this->holders.emplace_back();
    }
  }

  void Run(std::chrono::milliseconds length) {
    for (auto passed = 0ms; passed < length; passed += 100ms) {
      this->fleet.Run(100ms);
      for (int i = 0; i < this->fleet.Size(); ++i) {
        if (this->fleet.At(i) == nullptr) continue;
        this->rings[static_cast<std::size_t>(i)]->Update(
            this->holders[static_cast<std::size_t>(i)]);
      }
    }
  }

  /*! @brief Sum of all nodes' lendable parts of one slot's rate. */
  [[nodiscard]] double Lent(SlotId slot) const {
    double sum = 0;
    for (int i = 0; i < this->fleet.Size(); ++i) {
      const auto index = static_cast<std::size_t>(i);
      const bool holds = this->fleet.At(i) != nullptr &&
                         this->holders[index].held.count(slot) > 0;
      if (holds) sum += this->rings[index]->LendableFraction();
    }
    return sum;
  }

  [[nodiscard]] double MostLent() const {
    double most = 0;
    for (SlotId slot = 0; slot < this->rings.front()->Count(); ++slot) {
      most = std::max(most, this->Lent(slot));
    }
    return most;
  }

 private:
  MemberFleet &fleet;
  std::vector<std::unique_ptr<SlotRing>> rings;
  std::deque<Holder> holders;
};

}  // namespace

TEST_CASE(
    "slot ring: sides of a network partition lend no more than the rate in "
    "total") {
  for (const auto seed : support::Seeds(2)) {
    INFO("seed " << seed);
    MemberFleet fleet{60, seed};
    Rings rings{fleet};
    rings.Run(15s);
    CHECK(rings.MostLent() == Approx(1));
    // A third of the nodes is cut off, each isolated from all others.
    for (int i = 0; i < 20; ++i) {
      for (int j = 0; j < 60; ++j) {
        if (i != j) fleet.network.partitions.insert({i, j});
      }
    }
    rings.Run(8s);
    CHECK(rings.MostLent() <= 1.01);
    fleet.network.partitions.clear();
    rings.Run(60s);
    CHECK(rings.MostLent() == Approx(1));
    CHECK(rings.Lent(0) == Approx(1));
  }
}

TEST_CASE("slot ring: drained nodes do not reduce the lendable rates") {
  MemberFleet fleet{30, 3};
  Rings rings{fleet};
  rings.Run(10s);
  for (int i = 0; i < 10; ++i) fleet.At(i)->Leave();
  rings.Run(4s);
  for (int i = 0; i < 10; ++i) fleet.Kill(i);
  rings.Run(10s);
  for (SlotId slot = 0; slot < 32; ++slot) {
    CHECK(rings.Lent(slot) == Approx(1));
  }
}
