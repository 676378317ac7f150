#ifndef POLLENRING_NODE_SLOT_SERVICE_H_
#define POLLENRING_NODE_SLOT_SERVICE_H_

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "pollenring/lease/slot_keeper.h"
#include "pollenring/lease/witness.h"
#include "pollenring/net/loop.h"
#include "pollenring/node/bus.h"
#include "pollenring/node/gates.h"
#include "pollenring/node/member_service.h"
#include "pollenring/storage/storage.h"

namespace pollenring {

/*! @brief Receives this node's gains and losses of slots. */
class SlotListener {
 public:
  SlotListener() = default;
  SlotListener(const SlotListener &) = delete;
  SlotListener &operator=(const SlotListener &) = delete;
  virtual ~SlotListener() = default;

  /*! @brief This node holds the slot. @param before The previous row. */
  virtual void SlotGained(SlotId slot, const SlotRow &row, SlotOrigin origin,
                          const SlotRow &before) = 0;

  /*! @brief The slot's witnesses have changed. @param row The new row. */
  virtual void SlotWitnessesChanged(SlotId slot, const SlotRow &row) = 0;

  /*! @brief Another node holds the slot. @param row The row that names it, or
   * the one that was resigned. @param successor The next holder. */
  virtual void SlotHandedOver(SlotId slot, const SlotRow &row,
                              const ProcessRef &successor) = 0;

  /*! @brief This node no longer holds the slot. */
  virtual void SlotLost(SlotId slot) = 0;
};

/*! @brief Connects slot leases to datagrams, the platform and their users. */
class SlotService final : public SlotDirectory,
                          public SlotDelegate,
                          public SlotHolders {
 public:
  /**
   * @brief Creates the service.
   * @param slots Number of slots in all.
   * @param loop The loop.
   * @param bus Datagrams.
   * @param members Membership.
   * @param table The platform's table.
   * @param random Randomness.
   */
  SlotService(SlotId slots, Loop &loop, Bus &bus, MemberService &members,
              Table &table, Random &random);

  [[nodiscard]] SlotKeeper &Keeper() noexcept { return this->keeper; }
  [[nodiscard]] const SlotKeeper &Keeper() const noexcept {
    return this->keeper;
  }
  [[nodiscard]] SlotId Count() const noexcept override { return this->count; }
  [[nodiscard]] const ProcessRef &Self() const noexcept { return this->self; }

  [[nodiscard]] std::optional<NodeId> HolderOf(SlotId slot) const override;
  [[nodiscard]] bool Holds(SlotId slot) const override {
    return this->keeper.Held(slot) != nullptr;
  }
  [[nodiscard]] Time ValidUntil(SlotId slot) const override {
    return this->keeper.ValidUntil(slot);
  }

  /*! @brief Adds a listener. @param listener Notified of slot changes. */
  void AddListener(SlotListener &listener) {
    this->listeners.push_back(&listener);
  }

  /*! @brief Starts to claim and renew. */
  void Start();

  /*! @brief Hands over all slots; call it again until `Empty`. */
  void HandOverAll();

  /*! @brief Whether this node holds no slot. @return True if it holds none. */
  [[nodiscard]] bool Empty() const { return this->keeper.Claims().empty(); }

  [[nodiscard]] bool IsHolderAlive(SlotId slot) const override;
  [[nodiscard]] std::optional<std::size_t> Rank(SlotId slot) const override;
  [[nodiscard]] std::vector<ProcessRef> WitnessesFor(
      const ProcessRef &holder) const override;
  [[nodiscard]] bool IsAlive(const ProcessRef &ref) const override;

  void ReadRow(SlotId slot) override;
  void WriteRow(SlotId slot, std::uint64_t version,
                const SlotRow &row) override;
  void SendQuery(const ProcessRef &ref, const WitnessQuery &query) override;
  void Gained(SlotId slot, const SlotRow &row, SlotOrigin origin,
              const SlotRow &before) override;
  void WitnessesChanged(SlotId slot, const SlotRow &row) override;
  void Lost(SlotId slot) override;
  void HandedOver(SlotId slot, const SlotRow &row,
                  const ProcessRef &successor) override;

 private:
  struct Holder {
    std::uint64_t epoch{};
    NodeId node{};
  };

  void RegisterHandlers();
  void RecordMember(const Member &member);
  void AnnounceClaims();
  [[nodiscard]] std::optional<ProcessRef> SuccessorFor(SlotId slot) const;
  [[nodiscard]] std::string PreferredZone(SlotId slot) const;
  void Rebalance();
  void HandOverOne(SlotId slot);

  SlotId count;
  Loop &loop;
  Bus &bus;
  MemberService &members;
  Table &table;
  ProcessRef self;
  LeaseOptions options;
  Witness witness;
  SlotKeeper keeper;
  std::vector<Holder> holders;
  std::unordered_map<NodeId, MemberState> member_states;
  std::vector<SlotListener *> listeners;
  Time joined_at{};
  Time members_changed_at{};
  bool claims_changed{};
};

}  // namespace pollenring

#endif  // POLLENRING_NODE_SLOT_SERVICE_H_
