#ifndef POLLENRING_NODE_SHARE_SERVICE_H_
#define POLLENRING_NODE_SHARE_SERVICE_H_

#include <map>
#include <string>
#include <unordered_map>

#include "pollenring/config/ledger.h"
#include "pollenring/metrics/metrics.h"
#include "pollenring/node/bus.h"
#include "pollenring/node/gates.h"
#include "pollenring/node/handover.h"
#include "pollenring/node/slot_service.h"
#include "pollenring/share/borrower.h"
#include "pollenring/share/lender.h"

namespace pollenring {

/*! @brief Lends shares of the rate limits of held slots, and borrows shares for
 * this node's requests. */
class ShareService final : public ShareGate,
                           public ShareDelegate,
                           public SlotListener {
 public:
  /**
   * @brief Creates the service.
   * @param loop The loop.
   * @param bus Datagrams.
   * @param holders Holders of the slots.
   * @param rates Rates and bursts.
   * @param process This process.
   */
  ShareService(Loop &loop, Bus &bus, const SlotHolders &holders,
               const WorkspaceRates &rates, std::uint64_t process);

  /*! @brief Starts to lend and borrow. */
  void Start();

  /**
   * @brief Returns the bucket contents that a slot's successor needs.
   * @param slot The slot.
   * @return Contents by workspace.
   */
  [[nodiscard]] std::map<std::string, BucketState> BucketsOf(SlotId slot);

  /**
   * @brief Keeps a predecessor's state until the slot is gained.
   * @param handover The state.
   */
  void StoreHandover(const Handover &handover);

  void Charge(const std::string &workspace, WaitLimit wait_limit,
              Done done) override;
  bool SendBorrow(const BorrowRequest &request) override;
  void SlotGained(SlotId slot, const SlotRow &row, SlotOrigin origin,
                  const SlotRow &before) override;
  void SlotWitnessesChanged(SlotId slot, const SlotRow &row) override;
  void SlotHandedOver(SlotId slot, const SlotRow &row,
                      const ProcessRef &successor) override;
  void SlotLost(SlotId slot) override;

 private:
  [[nodiscard]] BorrowReply Lend(const BorrowRequest &request);

  Loop &loop;
  Bus &bus;
  const SlotHolders &holders;
  const WorkspaceRates &rates;
  ShareBorrower borrower;
  std::unordered_map<SlotId, ShareLender> lenders;
  std::unordered_map<SlotId, Handover> handovers;
};

}  // namespace pollenring

#endif  // POLLENRING_NODE_SHARE_SERVICE_H_
