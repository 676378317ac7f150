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

/*! @brief What borrowing asks of its surroundings. */
class ShareDelegate {
 public:
  ShareDelegate() = default;
  ShareDelegate(const ShareDelegate &) = delete;
  ShareDelegate &operator=(const ShareDelegate &) = delete;
  virtual ~ShareDelegate() = default;

  /*! @brief Sends a request to the slot's holder.
   * @param request The request.
   * @return Whether a holder is known. */
  virtual bool SendBorrow(const BorrowRequest &request) = 0;
};

/*! @brief What becomes of a charge. */
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
   * @param process This process.
   * @param slots Number of slots in all.
   * @param options Timing of leases, for clock drift.
   * @param clock Clock.
   * @param observer Sends requests.
   */
  ShareBorrower(std::uint64_t process, SlotId slots,
                const LeaseOptions &options, const Clock &clock,
                ShareDelegate &observer);

  /**
   * @brief Charges one request.
   * @param workspace Its workspace.
   * @param wait_limit How long it waits.
   * @param done Called exactly once, now or when a loan or a refusal comes.
   */
  void Charge(std::string workspace, WaitLimit wait_limit, Done done);

  /**
   * @brief Takes in what a holder lends.
   * @param reply Its reply.
   */
  void Receive(const BorrowReply &reply);

  /*! @brief Gives up on holders that are silent, returns idle loans, and
   * forgets workspaces that nobody asks for. */
  void Tick();

  /*! @brief Workspaces that are remembered. @return The count. */
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
    bool urgent{}; /*!< Ends soon; nobody returns it. */
  };
  struct Waiter {
    Time since{};
    WaitLimit wait_limit;
    Done done;
  };
  /*! @brief A request that goes when its share has come. */
  struct Early {
    Time ready{};
    Time expires{};
    Waiter waiter;
  };
  struct Asked {
    std::uint64_t loan{};
    SlotId slot{};
    Time sent{};
  };
  /*! @brief Asking one holder after the other, each once. */
  struct Round {
    std::size_t refusals{};
    std::size_t answers{}; /*!< Holders that said they have nothing. */
    Duration retry_after{};
    std::vector<Duration>
        next_share; /*!< By slot, until it has some; none if 0. */
    bool early{};   /*!< What comes next is asked for. */
  };
  struct Workspace {
    std::vector<SlotId> slots;
    std::size_t preferred{};
    Round round;
    Time next_round{}; /*!< No holder is asked before. */
    std::deque<Loan> loans;
    std::deque<Waiter> waiters;
    std::deque<Early> early;
    bool asking{};
    Asked asked;
    Time empty_until{};
    double demand{}; /*!< Requests a second, smoothed. */
    Time demand_from{};
    std::uint32_t charges{};
    std::unordered_map<SlotId, std::vector<LoanReturn>> returns;
  };

  [[nodiscard]] Workspace &WorkspaceOf(const std::string &name);
  [[nodiscard]] bool Spend(Workspace &workspace);
  void DropExpired(Workspace &workspace) const;
  void Measure(Workspace &workspace) const;
  void Ask(const std::string &name, Workspace &workspace);
  void AskOne(const std::string &name, Workspace &workspace);
  [[nodiscard]] BorrowRequest ToRequest(const std::string &name,
                                        Workspace &workspace);
  void Refused(const std::string &name, Workspace &workspace, bool answered,
               Duration retry_after);
  void ReturnIdle(Workspace &workspace) const;
  void SendReturns(const std::string &name, Workspace &workspace);
  void Serve(Workspace &workspace);
  void EndRound(const std::string &name, Workspace &workspace);
  [[nodiscard]] bool AskEarly(const std::string &name, Workspace &workspace);
  void TakeEarly(Workspace &workspace, const EarlyGrant &grant);
  void ReleaseEarly(Workspace &workspace);
  void RefuseAll(Workspace &workspace);
  void RefuseLate(Workspace &workspace);
  [[nodiscard]] bool Forgettable(const Workspace &workspace) const;
  [[nodiscard]] static bool AllAnswered(const Workspace &workspace);
  [[nodiscard]] static double Ahead(const Workspace &workspace);
  [[nodiscard]] static std::uint32_t Wanted(const Workspace &workspace);
  [[nodiscard]] static std::uint32_t Stock(const Workspace &workspace);

  std::uint64_t process;
  SlotId slots;
  LeaseOptions options;
  const Clock &clock;
  ShareDelegate &observer;
  // Callbacks may charge workspaces that are new while all are visited; in a
  // map that leaves the place of the visit valid.
  std::map<std::string, Workspace> workspaces;
  std::uint64_t last_loan{};
};

}  // namespace pollenring

#endif  // POLLENRING_SHARE_BORROWER_H_
