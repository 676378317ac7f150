#include "support/lease_world.h"

#include <algorithm>

#include "support/lease_node.h"

namespace support {

WorldFaults AllFaults() {
  WorldFaults faults;
  faults.crash = 0.1;
  faults.freeze = 0.2;
  faults.table_down = 0.02;
  faults.lose_responses = 0.1;
  faults.partition = 0.2;
  faults.false_suspicion = 0.01;
  faults.handover = 0.3;
  return faults;
}

LeaseWorld::LeaseWorld(int size, SlotId slots, std::uint64_t seed,
                       WorldFaults faults)
    : random{seed},
      truth{std::chrono::hours{1}},
      network{truth, random},
      faults{faults},
      slots{slots} {
  for (int i = 0; i < size; ++i) this->nodes.push_back(nullptr);
  for (int i = 0; i < size; ++i) this->Boot(i);
}

LeaseWorld::~LeaseWorld() = default;

void LeaseWorld::Step() {
  this->network.RunUntil(this->truth.Now() + kStep);
  this->Disturb();
  for (std::size_t i = 0; i < this->nodes.size(); ++i) this->Tick(i);
  this->CheckExclusive();
}

void LeaseWorld::Run(std::uint64_t steps) {
  for (std::uint64_t i = 0; i < steps; ++i) this->Step();
}

void LeaseWorld::EndFaults() {
  this->faults_ended = true;
  this->network.partitions.clear();
  this->table.Faults() = {};
  this->faults = WorldFaults{};
}

void LeaseWorld::Crash(int index) {
  this->nodes[static_cast<std::size_t>(index)].reset();
}

bool LeaseWorld::IsUp(int index) const {
  const auto &node = this->nodes[static_cast<std::size_t>(index)];
  return node && !node->Frozen();
}

void LeaseWorld::Boot(int index) {
  this->nodes[static_cast<std::size_t>(index)] =
      std::make_unique<Node>(*this, index, this->random.Bits());
}

void LeaseWorld::Freeze(int index, Duration length) {
  auto &node = this->nodes[static_cast<std::size_t>(index)];
  if (node) node->frozen_until = this->truth.Now() + length;
}

bool LeaseWorld::HandOver(SlotId slot) {
  const std::size_t size = this->nodes.size();
  const auto &successor = this->nodes[this->random.Index(size)];
  if (!successor) return false;
  bool started = false;
  for (const auto &node : this->nodes) {
    if (!node || node == successor || node->Frozen()) continue;
    if (node->keeper.Held(slot) == nullptr) continue;
    // Resign works only while the table is down, with a witness as successor.
    if (!node->keeper.Resign(slot, successor->self)) {
      node->keeper.HandOverTo(slot, successor->self);
    }
    started = true;
  }
  return started;
}

void LeaseWorld::Tick(std::size_t index) {
  Node *node = this->nodes[index].get();
  if (node == nullptr || node->Frozen()) return;
  node->keeper.Tick();
  node->borrower.Tick();
}

std::size_t LeaseWorld::HeldSlots() const {
  std::size_t held = 0;
  for (SlotId slot = 0; slot < this->slots; ++slot) {
    for (const auto &node : this->nodes) {
      if (node && node->keeper.Valid(slot)) ++held;
    }
  }
  return held;
}

std::string LeaseWorld::Describe() const {
  std::string text;
  for (const auto &node : this->nodes) {
    text += "node";
    for (SlotId slot = 0; node && slot < this->slots; ++slot) {
      text += ' ' + std::string{node->keeper.PhaseName(slot)};
    }
    text += '\n';
  }
  return text;
}

void LeaseWorld::CheckExclusive() const {
  for (SlotId slot = 0; slot < this->slots; ++slot) {
    int holders = 0;
    for (const auto &node : this->nodes) {
      // A frozen holder counts: it may resume at any time and use its lease.
      if (node && node->keeper.Valid(slot)) ++holders;
    }
    pollenring::Require(holders <= 1, "a slot has at most one valid holder");
  }
}

void LeaseWorld::Charge(int index, const std::string &workspace,
                        std::function<void(bool)> done) {
  Node &node = *this->nodes[static_cast<std::size_t>(index)];
  node.borrower.Charge(
      workspace, pollenring::WaitLimit::Until(Time::max()),
      [this, workspace, done](const pollenring::ChargeResult &result) {
        if (result.granted) {
          this->checks.at(workspace).RecordCharge(this->truth.Now());
        }
        done(result.granted);
      });
}

void LeaseWorld::Disturb() {
  if (this->faults_ended) return;
  const auto size = this->nodes.size();
  const auto pick = [&] { return static_cast<int>(this->random.Index(size)); };
  if (this->Happens(this->faults.crash)) {
    const int victim = pick();
    this->Crash(victim);
    this->network.At(
        this->truth.Now() +
            std::chrono::milliseconds{100 + this->random.Index(8000)},
        [this, victim] {
          if (!this->nodes[static_cast<std::size_t>(victim)]) {
            this->Boot(victim);
          }
        });
  }
  if (this->Happens(this->faults.handover)) {
    this->HandOver(static_cast<SlotId>(this->random.Index(this->slots)));
  }
  if (this->Happens(this->faults.freeze)) {
    this->Freeze(pick(), std::chrono::milliseconds{this->random.Index(9000)});
  }
  if (this->Happens(this->faults.table_down)) {
    this->table.Faults().down = true;
    this->network.At(this->truth.Now() +
                         std::chrono::milliseconds{this->random.Index(20000)},
                     [this] { this->table.Faults().down = false; });
  }
  if (this->Happens(this->faults.lose_responses)) {
    this->table.Faults().lose_write_responses = true;
    this->network.At(
        this->truth.Now() + std::chrono::milliseconds{this->random.Index(5000)},
        [this] { this->table.Faults().lose_write_responses = false; });
  }
  if (this->Happens(this->faults.partition)) {
    const auto partition = std::make_pair(pick(), pick());
    this->network.partitions.insert(partition);
    this->network.At(
        this->truth.Now() + std::chrono::milliseconds{this->random.Index(8000)},
        [this, partition] { this->network.partitions.erase(partition); });
  }
}

}  // namespace support
