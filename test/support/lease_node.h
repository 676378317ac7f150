#ifndef POLLENRING_TEST_SUPPORT_LEASE_NODE_H_
#define POLLENRING_TEST_SUPPORT_LEASE_NODE_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "support/lease_world.h"

namespace support {

/*! @brief One process of the world. */
struct LeaseWorld::Node final : pollenring::SlotDirectory,
                                pollenring::SlotDelegate,
                                pollenring::ShareDelegate {
  Node(LeaseWorld &world, int index, std::uint64_t process)
      : world{world},
        index{index},
        self{static_cast<pollenring::NodeId>(index + 1), process},
        clock{
            world.truth, 1 + kSkew * (world.random.Fraction() * 2 - 1),
            Duration{static_cast<std::int64_t>(world.random.Index(1'000'000))}},
        witness{process, options, clock},
        keeper{self,         world.slots, options, clock,
               world.random, *this,       witness, *this},
        borrower{process, world.slots, options, clock, *this} {}

  [[nodiscard]] bool Frozen() const {
    return this->world.truth.Now() < this->frozen_until;
  }

  /*! @brief Runs an event at the process, once it is not frozen; a process
   * that has ended never sees it. */
  void Deliver(const std::function<void(Node &)> &event) const {
    Deliver(this->world, this->index, this->self.process, event);
  }

  static void Deliver(LeaseWorld &world, int index, std::uint64_t process,
                      const std::function<void(Node &)> &event) {
    Node *node = world.nodes[static_cast<std::size_t>(index)].get();
    if (node == nullptr || node->self.process != process) return;
    if (node->Frozen()) {
      world.network.At(node->frozen_until, [&world, index, process, event] {
        Deliver(world, index, process, event);
      });
      return;
    }
    event(*node);
  }

  /*! @brief Sends an event to whatever process runs at a node. */
  void SendTo(int to, const std::function<void(Node &)> &event) {
    LeaseWorld &shared = this->world;
    shared.network.Send(this->index, to, [&shared, to, event] {
      Node *node = shared.nodes[static_cast<std::size_t>(to)].get();
      if (node != nullptr) node->Deliver(event);
    });
  }

  /*! @brief Runs an event here after a table call's delay. */
  void RunAfterDelay(const std::function<void(Node &)> &event) {
    LeaseWorld &shared = this->world;
    const int own = this->index;
    const auto process = this->self.process;
    shared.network.At(shared.truth.Now() + shared.network.Delay(),
                      [&shared, own, process, event] {
                        Deliver(shared, own, process, event);
                      });
  }

  [[nodiscard]] std::optional<int> HolderOf(SlotId slot) const {
    std::uint64_t best = 0;
    std::optional<int> holder;
    for (const auto &node : this->world.nodes) {
      if (!node) continue;
      const SlotRow *row = node->keeper.Held(slot);
      if (row == nullptr || row->epoch <= best) continue;
      best = row->epoch;
      holder = node->index;
    }
    return holder;
  }

  [[nodiscard]] static std::string ZoneOf(pollenring::NodeId node) {
    return std::string(1, static_cast<char>('a' + node % 3));
  }

  [[nodiscard]] bool IsHolderAlive(SlotId slot) const override {
    const auto holder = this->HolderOf(slot);
    if (!holder) return false;
    const WorldFaults &faults = this->world.faults;
    const Time now = this->world.truth.Now();
    if (this->world.random.Chance(faults.long_suspicion)) {
      this->suspicion_ends[slot] =
          now + std::chrono::milliseconds{this->world.random.Index(9000)};
    }
    const auto suspicion = this->suspicion_ends.find(slot);
    const bool suspected =
        (suspicion != this->suspicion_ends.end() && now < suspicion->second) ||
        this->world.random.Chance(faults.false_suspicion);
    const Node &node = *this->world.nodes[static_cast<std::size_t>(*holder)];
    const bool reachable =
        !this->world.network.Partitioned(this->index, *holder);
    return !suspected && reachable && !node.Frozen();
  }
  [[nodiscard]] std::optional<std::size_t> Rank(SlotId slot) const override {
    const auto third = std::min<SlotId>(2, slot * 3 / this->world.slots);
    const std::string preferred = ZoneOf(third);
    bool preferred_alive = false;
    for (const auto &node : this->world.nodes) {
      const bool alive = node && !node->Frozen();
      if (alive && ZoneOf(node->self.node) == preferred) preferred_alive = true;
    }
    const bool in_preferred = ZoneOf(this->self.node) == preferred;
    const std::size_t zone_penalty = preferred_alive && !in_preferred ? 1 : 0;
    // Witnesses of a lost holder go first.
    const std::size_t takeover_penalty =
        this->world.had_holder.count(slot) > 0 ? 4 : 0;
    return takeover_penalty + zone_penalty + this->world.random.Index(2);
  }
  [[nodiscard]] std::vector<ProcessRef> WitnessesFor(
      const ProcessRef &holder) const override {
    std::vector<ProcessRef> chosen{holder};
    std::vector<pollenring::WitnessCandidate> candidates;
    for (const auto &node : this->world.nodes) {
      if (!node || node->self == holder || node->Frozen()) continue;
      if (this->world.network.Partitioned(this->index, node->index)) continue;
      candidates.push_back({node->self, ZoneOf(node->self.node), "region",
                            this->world.random.Bits()});
    }
    const pollenring::WitnessCandidate home{holder, ZoneOf(holder.node),
                                            "region", 0};
    return pollenring::ChooseWitnesses(home, std::move(candidates));
  }
  [[nodiscard]] bool IsAlive(const ProcessRef &ref) const override {
    const auto at = static_cast<std::size_t>(ref.node - 1);
    const auto &node = this->world.nodes[at];
    return node && node->self == ref && !node->Frozen();
  }

  void ReadRow(SlotId slot) override {
    if (this->world.random.Chance(this->world.faults.failed_reads)) {
      this->RunAfterDelay(
          [slot](Node &node) { node.keeper.RowUnreadable(slot); });
      return;
    }
    this->world.table.Read(
        {pollenring::SlotRowKey(slot)}, [&](pollenring::Table::Rows rows) {
          this->RunAfterDelay([slot, rows](Node &node) {
            const auto *found =
                std::get_if<std::vector<pollenring::Row>>(&rows);
            if (found == nullptr) {
              node.keeper.RowUnreadable(slot);
              return;
            }
            node.keeper.RowRead(slot, found->front().version,
                                SlotRow::FromJson(found->front().value));
          });
        });
  }

  void WriteRow(SlotId slot, std::uint64_t version,
                const SlotRow &row) override {
    LeaseWorld &shared = this->world;
    const std::string text = row.ToJson();
    const std::string key = pollenring::SlotRowKey(slot);
    const int own = this->index;
    const auto process = this->self.process;
    // A write takes effect late, and its answer may be lost.
    const bool timed_out = shared.random.Chance(shared.faults.timed_out_writes);
    const Duration delay = shared.network.Delay() *
                           (timed_out ? shared.faults.late_write_factor : 1);
    shared.network.At(shared.truth.Now() + delay, [=, &shared] {
      shared.table.Write(
          {{key, version}}, {{key, text}},
          [&](pollenring::Table::Written written) {
            auto result = pollenring::RowWrite::kUnknown;
            if (const auto *ok =
                    std::get_if<pollenring::WriteResult>(&written)) {
              result = *ok == pollenring::WriteResult::kWritten
                           ? pollenring::RowWrite::kWritten
                           : pollenring::RowWrite::kConflict;
            } else if (std::get<pollenring::StorageError>(written) ==
                       pollenring::StorageError::kUnavailable) {
              result = pollenring::RowWrite::kUnavailable;
            }
            if (timed_out) return;
            Deliver(shared, own, process, [slot, result](Node &node) {
              node.keeper.RowWritten(slot, result);
            });
          });
    });
    if (!timed_out) return;
    this->RunAfterDelay([slot](Node &node) {
      node.keeper.RowWritten(slot, pollenring::RowWrite::kUnknown);
    });
  }

  void SendQuery(const ProcessRef &ref,
                 const pollenring::WitnessQuery &query) override {
    const int to = static_cast<int>(ref.node) - 1;
    const int own = this->index;
    if (to == own) {
      const auto reply = this->witness.HandleQuery(query);
      this->RunAfterDelay(
          [=](Node &node) { node.keeper.HandleReply(ref, reply); });
      return;
    }
    this->SendTo(to, [=](Node &other) {
      const auto reply = other.witness.HandleQuery(query);
      other.SendTo(own,
                   [=](Node &node) { node.keeper.HandleReply(ref, reply); });
    });
  }

  void Gained(SlotId slot, const SlotRow & /*row*/,
              pollenring::SlotOrigin origin, const SlotRow &before) override {
    this->world.had_holder.insert(slot);
    this->lenders.erase(slot);
    const bool first =
        origin == pollenring::SlotOrigin::kTakenOver && before.epoch == 0;
    const auto added = this->lenders.emplace(
        slot, pollenring::ShareLender{first, this->clock});
    const auto inheritance = this->inherited.find(slot);
    if (inheritance == this->inherited.end()) return;
    // Also from a predecessor that has resigned, if it was the last one.
    const bool last = before.epoch == inheritance->second.epoch &&
                      before.holder == inheritance->second.holder;
    if (origin == pollenring::SlotOrigin::kHandedOver || last) {
      added.first->second.Inherit(inheritance->second.contents);
    }
    this->inherited.erase(inheritance);
  }
  void WitnessesChanged(SlotId /*slot*/, const SlotRow & /*row*/) override {}
  void Lost(SlotId slot) override { this->lenders.erase(slot); }
  void HandedOver(SlotId slot, const SlotRow &row,
                  const ProcessRef &successor) override {
    const auto lender = this->lenders.find(slot);
    std::map<std::string, pollenring::BucketState> contents;
    if (lender != this->lenders.end()) contents = lender->second.Contents();
    this->lenders.erase(slot);
    const int to = static_cast<int>(successor.node) - 1;
    this->SendTo(to, [=](Node &node) {
      node.inherited[slot] = {row.epoch, row.holder, contents};
      if (row.holder == successor) {
        node.keeper.AcceptHandover(slot, row);
      } else {
        node.keeper.Campaign(slot);
      }
    });
  }

  bool SendBorrow(const pollenring::BorrowRequest &request) override {
    const auto holder = this->HolderOf(request.slot);
    if (!holder) return false;
    const int own = this->index;
    this->SendTo(*holder, [=](Node &other) {
      const auto reply = other.Lend(request);
      if (request.want == 0) return;
      other.SendTo(own, [=](Node &node) { node.borrower.HandleReply(reply); });
    });
    return true;
  }

  [[nodiscard]] pollenring::BorrowReply Lend(
      const pollenring::BorrowRequest &request) {
    pollenring::BorrowReply refusal;
    refusal.slot = request.slot;
    refusal.workspace = request.workspace;
    refusal.loan = request.loan;
    const auto lender = this->lenders.find(request.slot);
    if (lender == this->lenders.end()) return refusal;
    const auto part =
        pollenring::PartOf(request.workspace, request.slot, this->world.slots);
    if (!part) return refusal;
    return lender->second.Lend(request,
                               this->world.contracts.at(request.workspace),
                               *part, this->keeper.ValidUntil(request.slot));
  }

  LeaseWorld &world;
  int index;
  ProcessRef self;
  pollenring::LeaseOptions options;
  DriftingClock clock;
  pollenring::Witness witness;
  pollenring::SlotKeeper keeper;
  pollenring::ShareBorrower borrower;
  std::map<SlotId, pollenring::ShareLender> lenders;
  /*! @brief What a predecessor has left, and the row that it left it with. */
  struct Inheritance {
    std::uint64_t epoch{};
    ProcessRef holder;
    std::map<std::string, pollenring::BucketState> contents;
  };
  std::map<SlotId, Inheritance> inherited;
  Time frozen_until{};
  mutable std::map<SlotId, Time> suspicion_ends;
};

}  // namespace support

#endif  // POLLENRING_TEST_SUPPORT_LEASE_NODE_H_
