#ifndef POLLENRING_SHARE_BORROWER_H_
#define POLLENRING_SHARE_BORROWER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "pollenring/core/clock.h"
#include "pollenring/core/outcome.h"
#include "pollenring/lease/options.h"
#include "pollenring/share/borrow.h"

namespace pollenring {

/*! @brief Dependencies of the borrower. */
class ShareDelegate {
 public:
  ShareDelegate() = default;
  ShareDelegate(const ShareDelegate &) = delete;
  ShareDelegate &operator=(const ShareDelegate &) = delete;
  virtual ~ShareDelegate() = default;

  /**
   * @brief Sends a request to the slot's holder.
   * @param request The request.
   * @return True if a holder is known.
   */
  virtual bool SendBorrow(const BorrowRequest &request) = 0;
};

/*! @brief Result of a charge. */
struct ChargeResult {
  bool granted{};
  Reason reason{Reason::kNone};
  Duration retry_after{};
};

/**
 * @brief Charges requests of this node against share borrowed from the holders
 * of the workspace's slots.
 */
class ShareBorrower {
 public:
  using Done = std::function<void(ChargeResult)>;

  /**
   * @brief Starts without loans.
   * @param process ID of this process.
   * @param slots Total number of slots.
   * @param options Lease timing, for the clock drift.
   * @param clock Clock.
   * @param delegate Sends requests.
   */
  ShareBorrower(std::uint64_t process, SlotId slots,
                const LeaseOptions &options, const Clock &clock,
                ShareDelegate &delegate);

  /**
   * @brief Charges one request.
   * @param workspace Workspace of the request.
   * @param wait_limit How long the request may wait.
   * @param done Called exactly once: within the call, or on a loan or a
   * refusal.
   */
  void Charge(std::string workspace, WaitLimit wait_limit, Done done);

  /**
   * @brief Handles a holder's reply.
   * @param reply The reply.
   */
  void HandleReply(const BorrowReply &reply);

  /**
   * @brief Times out holders that do not respond, returns idle loans and
   * removes idle workspaces.
   */
  void Tick();

  /*! @brief Returns the number of tracked workspaces. @return The count. */
  [[nodiscard]] std::size_t Count() const noexcept {
    return this->workspaces.size();
  }

 private:
  struct Loan {
    SlotId slot{};
    std::uint64_t id{};
    std::uint32_t left{};
    Time taken{};
    Time expires{};
    bool urgent{}; /*!< Short validity; never returned. */
  };
  struct Waiter {
    Time since{};
    WaitLimit wait_limit;
    Done done;
  };
  /*! @brief A request admitted once its refill has arrived. */
  struct Early {
    Time ready{};
    Time expires{};
    Waiter waiter;
  };
  struct PendingRequest {
    std::uint64_t loan{};
    SlotId slot{};
    Time sent{};
  };
  /*! @brief One pass over the holders, each queried once. */
  struct Round {
    std::size_t refusals{};
    std::size_t
        empty_replies{}; /*!< Holders that replied that they are empty. */
    Duration retry_after{};
    std::vector<Duration>
        next_refill; /*!< By slot: time to its next refill; 0 if unknown. */
    bool early{};    /*!< The round requests early grants. */
  };
  struct Workspace {
    std::vector<SlotId> slots;
    std::size_t preferred{};
    Round round;
    Time next_round{}; /*!< Earliest time of the next round. */
    std::deque<Loan> loans;
    std::deque<Waiter> waiters;
    std::deque<Early> early;
    bool awaiting_reply{};
    PendingRequest pending;
    Time empty_until{};
    double demand{}; /*!< Requests per second, smoothed. */
    Time demand_from{};
    std::uint32_t charges{};
    std::unordered_map<SlotId, std::vector<LoanReturn>> returns;
  };

  [[nodiscard]] Workspace &WorkspaceOf(const std::string &name);
  [[nodiscard]] bool Spend(Workspace &workspace);
  void DropExpired(Workspace &workspace) const;
  void Measure(Workspace &workspace) const;
  void StartRound(const std::string &name, Workspace &workspace);
  void QueryNextHolder(const std::string &name, Workspace &workspace);
  [[nodiscard]] BorrowRequest ToRequest(const std::string &name,
                                        Workspace &workspace);
  void HandleRefusal(const std::string &name, Workspace &workspace,
                     bool replied, Duration retry_after);
  void ReturnIdle(Workspace &workspace) const;
  void SendReturns(const std::string &name, Workspace &workspace);
  void ServeWaiters(Workspace &workspace);
  void EndRound(const std::string &name, Workspace &workspace);
  [[nodiscard]] bool RequestEarlyGrant(const std::string &name,
                                       Workspace &workspace);
  void AcceptEarlyGrant(Workspace &workspace, const EarlyGrant &grant);
  void ReleaseEarly(Workspace &workspace);
  void RefuseAll(Workspace &workspace);
  void RefuseOverdue(Workspace &workspace);
  [[nodiscard]] bool IsRemovable(const Workspace &workspace) const;
  [[nodiscard]] static bool AllHoldersEmpty(const Workspace &workspace);
  [[nodiscard]] static double Ahead(const Workspace &workspace);
  [[nodiscard]] static std::uint32_t Wanted(const Workspace &workspace);
  [[nodiscard]] static std::uint32_t Stock(const Workspace &workspace);

  std::uint64_t process;
  SlotId slots;
  LeaseOptions options;
  const Clock &clock;
  ShareDelegate &delegate;
  // Callbacks may insert workspaces during iteration, which leaves iterators of
  // a std::map valid.
  std::map<std::string, Workspace> workspaces;
  std::uint64_t last_loan{};
};

}  // namespace pollenring

#endif  // POLLENRING_SHARE_BORROWER_H_
