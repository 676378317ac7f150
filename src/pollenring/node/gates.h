#ifndef POLLENRING_NODE_GATES_H_
#define POLLENRING_NODE_GATES_H_

#include <functional>
#include <optional>
#include <string>

#include "pollenring/contract/contract.h"
#include "pollenring/core/clock.h"
#include "pollenring/core/outcome.h"
#include "pollenring/lease/slot_row.h"
#include "pollenring/membership/member.h"
#include "pollenring/node/wire.h"
#include "pollenring/share/borrow.h"

namespace pollenring {

/*! @brief Which node lends the rates of a slot. */
class SlotHolders {
 public:
  SlotHolders() = default;
  SlotHolders(const SlotHolders &) = delete;
  SlotHolders &operator=(const SlotHolders &) = delete;
  virtual ~SlotHolders() = default;

  /*! @brief Total number of slots. @return The count. */
  [[nodiscard]] virtual SlotId Count() const noexcept = 0;

  /**
   * @brief Finds who holds a slot, as far as this node knows.
   * @param slot The slot.
   * @return The holder, or nothing.
   */
  [[nodiscard]] virtual std::optional<NodeId> HolderOf(SlotId slot) const = 0;

  /*! @brief Whether this node holds a slot. @param slot Slot. @return True if
   * it does. */
  [[nodiscard]] virtual bool Holds(SlotId slot) const = 0;

  /**
   * @brief Fraction of each rate and burst that the holders known here may
   * lend.
   * @return From 0 to 1; below 1 while unknown holders may lend too.
   */
  [[nodiscard]] virtual double LendableFraction() const noexcept { return 1; }

  /*! @brief Until when this node may lend from a slot. @param slot Slot.
   * @return Time. */
  [[nodiscard]] virtual Time ValidUntil(SlotId slot) const = 0;
};

/*! @brief Active rates and bursts of workspaces. */
class WorkspaceRates {
 public:
  WorkspaceRates() = default;
  WorkspaceRates(const WorkspaceRates &) = delete;
  WorkspaceRates &operator=(const WorkspaceRates &) = delete;
  virtual ~WorkspaceRates() = default;

  /**
   * @brief Finds the rate limit of a workspace over all VMs.
   * @param workspace The workspace.
   * @return Rate and burst, or nothing if it has none.
   */
  [[nodiscard]] virtual std::optional<WorkspaceRateLimit> RateOf(
      const std::string &workspace) const = 0;
};

/*! @brief Whether a workspace may start one more root request. */
struct ChargeReply {
  bool granted{};
  Reason reason{Reason::kNone};
  Duration retry_after{};
};

/*! @brief Charges root requests to their workspaces, over all VMs. */
class ShareGate {
 public:
  using Done = std::function<void(ChargeReply)>;

  ShareGate() = default;
  ShareGate(const ShareGate &) = delete;
  ShareGate &operator=(const ShareGate &) = delete;
  virtual ~ShareGate() = default;

  /**
   * @brief Charges one request, at once or when a loan has arrived.
   * @param workspace The workspace.
   * @param wait_limit How long the request may wait.
   * @param done Called exactly once, possibly synchronously.
   */
  virtual void Charge(const std::string &workspace, WaitLimit wait_limit,
                      Done done) = 0;
};

/*! @brief Decision on a request identifier. */
enum class OnceVerdict {
  kRun,
  kNotRun,
  kAnswered,
  kInProgress,
  kUnknown,
  kExpired
};

/*! @brief Reply of the owner of a request identifier. */
struct OnceReply {
  OnceVerdict verdict{OnceVerdict::kUnknown};
  CallReply reply; /*!< The first response, if still held. */
  std::string body;
  Duration retry_after{};
};

/*! @brief Runs each identifier of a non-idempotent request at most once. */
class OnceGate {
 public:
  using Done = std::function<void(OnceReply)>;

  OnceGate() = default;
  OnceGate(const OnceGate &) = delete;
  OnceGate &operator=(const OnceGate &) = delete;
  virtual ~OnceGate() = default;

  /**
   * @brief Requests to run an identifier.
   * @param key Workspace and identifier.
   * @param created_here Whether this node created it, so that no other request
   * can have used it.
   * @param deadline When the caller needs the response.
   * @param done Called exactly once.
   */
  virtual void Begin(const std::string &key, bool created_here, Time deadline,
                     Done done) = 0;

  /**
   * @brief Records how a run ended.
   * @param key Workspace and identifier.
   * @param reply The reply.
   * @param body Its body.
   */
  virtual void End(const std::string &key, const CallReply &reply,
                   const std::string &body) = 0;
};

}  // namespace pollenring

MSGPACK_ADD_ENUM(pollenring::OnceVerdict)

#endif  // POLLENRING_NODE_GATES_H_
