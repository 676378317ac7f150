#ifndef POLLENRING_NODE_ONCE_SERVICE_H_
#define POLLENRING_NODE_ONCE_SERVICE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "pollenring/link/link_client.h"
#include "pollenring/node/bus.h"
#include "pollenring/node/gates.h"
#include "pollenring/node/handover.h"
#include "pollenring/node/slot_service.h"
#include "pollenring/once/ledger.h"
#include "pollenring/once/mirror.h"

namespace pollenring {

/*! @brief Requests permission to run from the owner of an idempotency key. */
struct OnceBegin {
  std::string key;
  std::int64_t created_ms{};
  std::uint64_t attempt{};
  std::int64_t deadline_ms{};
  MSGPACK_DEFINE(key, created_ms, attempt, deadline_ms)
};

/*! @brief The owner's decision; `owner` is false when it may not decide. */
struct OnceDecision {
  std::uint64_t attempt{};
  bool owner{};
  OnceVerdict verdict{OnceVerdict::kUnknown};
  std::string reply;
  MSGPACK_DEFINE(attempt, owner, verdict, reply)
};

/*! @brief Reports to the owner how an attempt ended. */
struct OnceEnd {
  std::string key;
  std::uint64_t attempt{};
  OnceState state{OnceState::kUnknown};
  std::string reply;
  MSGPACK_DEFINE(key, attempt, state, reply)
};

/*! @brief Owns the idempotency records of held slots; queries the owners of
 * other slots. */
class OnceService final : public OnceGate, public SlotListener {
 public:
  /**
   * @brief Creates the service.
   * @param loop The loop.
   * @param bus Datagrams.
   * @param link Streams.
   * @param slots Holders of the slots.
   * @param random Randomness.
   */
  OnceService(Loop &loop, Bus &bus, LinkClient &link, SlotService &slots,
              Random &random);

  /*! @brief Registers the message handlers. */
  void Start();

  /*! @brief Records the end of an attempt. @param body An `OnceEnd`. */
  void HandleEnd(const std::string &body);

  /*! @brief Copies a holder's records as its mirror. @param body Seed. */
  void HandleSeed(const std::string &body);

  /*! @brief Closes an epoch as its mirror. @param body Epoch.
   * @return Records of the epoch. */
  [[nodiscard]] std::string HandleClose(const std::string &body);

  /**
   * @brief Returns the records that a slot's successor needs.
   * @param slot The slot.
   * @return The log.
   */
  [[nodiscard]] OnceLog LogOf(SlotId slot) const;

  /**
   * @brief Keeps a predecessor's state until the slot is gained.
   * @param handover The state.
   */
  void StoreHandover(const Handover &handover);

  void Begin(const std::string &key, bool created_here, Time deadline,
             Done done) override;
  void End(const std::string &key, const CallReply &reply,
           const std::string &body) override;
  void SlotGained(SlotId slot, const SlotRow &row, SlotOrigin origin,
                  const SlotRow &before) override;
  void SlotWitnessesChanged(SlotId slot, const SlotRow &row) override;
  void SlotHandedOver(SlotId slot, const SlotRow &row,
                      const ProcessRef &successor) override;
  void SlotLost(SlotId slot) override;

 private:
  /*! @brief An attempt of this node that waits for the owner's decision. */
  struct PendingAttempt {
    OnceBegin begin;
    bool created_here{};
    Time deadline{};
    Time give_up_at{};
    Done done;
  };
  /*! @brief A record of this node that waits to be copied by a mirror. */
  struct PendingCopy {
    SlotId slot{};
    std::uint64_t epoch{};
    OnceRecord record;
    NodeId requester{};
    Time give_up_at{};
  };
  /*! @brief Records of a held slot. */
  struct OwnedSlot {
    OnceLedger ledger;
    bool ready{};
    std::size_t pending_closes{};
    bool all_closed{true};
    std::int64_t complete_since_ms{};
  };

  void RequestDecision(std::uint64_t attempt);
  void HandleDecision(const OnceDecision &decision);
  void Decide(NodeId requester, const OnceBegin &begin);
  void Reply(NodeId requester, const OnceDecision &decision);
  void SendCopies(std::uint64_t copy);
  void HandleCopied(std::uint64_t copy);
  void CloseMirrors(SlotId slot, const SlotRow &before);
  void MirrorClosed(SlotId slot, const std::string *log);
  void SeedMirrors(SlotId slot, const SlotRow &row);
  void SendEnd(const OnceEnd &end, int tries_left);
  void Apply(const OnceEnd &end);

  Loop &loop;
  Bus &bus;
  LinkClient &link;
  SlotService &slots;
  Random &random;
  OnceMirror mirror;
  std::unordered_map<SlotId, OwnedSlot> owned_slots;
  std::unordered_map<SlotId, Handover> handovers;
  std::unordered_map<std::uint64_t, PendingAttempt> pending_attempts;
  std::unordered_map<std::string, std::uint64_t> running;
  std::unordered_map<std::uint64_t, PendingCopy> pending_copies;
  std::uint64_t last_copy{};
};

}  // namespace pollenring

#endif  // POLLENRING_NODE_ONCE_SERVICE_H_
