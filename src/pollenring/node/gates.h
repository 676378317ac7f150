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

/*! @brief Which node lends the share of a slot. */
class SlotHolders {
 public:
  SlotHolders() = default;
  SlotHolders(const SlotHolders &) = delete;
  SlotHolders &operator=(const SlotHolders &) = delete;
  virtual ~SlotHolders() = default;

  /*! @brief Number of slots in all. @return The count. */
  [[nodiscard]] virtual SlotId Count() const noexcept = 0;

  /**
   * @brief Finds who holds a slot, as far as this node has heard.
   * @param slot The slot.
   * @return The holder, or nothing.
   */
  [[nodiscard]] virtual std::optional<NodeId> HolderOf(SlotId slot) const = 0;

  /*! @brief Whether this node holds it. @param slot Slot. @return So. */
  [[nodiscard]] virtual bool Holds(SlotId slot) const = 0;

  /**
   * @brief Part of each rate and burst that all holders seen here may lend.
   * @return From 0 to 1; less while others may lend unseen.
   */
  [[nodiscard]] virtual double Part() const noexcept { return 1; }

  /*! @brief Until when this node may lend it. @param slot Slot. @return Time.
   */
  [[nodiscard]] virtual Time ValidUntil(SlotId slot) const = 0;
};

/*! @brief Rates and bursts of workspaces, as they are in force. */
class WorkspaceRates {
 public:
  WorkspaceRates() = default;
  WorkspaceRates(const WorkspaceRates &) = delete;
  WorkspaceRates &operator=(const WorkspaceRates &) = delete;
  virtual ~WorkspaceRates() = default;

  /**
   * @brief Finds what a workspace may consume in all.
   * @param workspace The workspace.
   * @return Rate and burst, or nothing when it has none.
   */
  [[nodiscard]] virtual std::optional<WorkspaceRateLimit> RateOf(
      const std::string &workspace) const = 0;
};

/*! @brief Whether a workspace may start one more whole request. */
struct ShareAnswer {
  bool granted{};
  Reason reason{Reason::kNone};
  Duration retry_after{};
};

/*! @brief Charges whole requests to their workspaces, over all VMs. */
class ShareGate {
 public:
  using Done = std::function<void(ShareAnswer)>;

  ShareGate() = default;
  ShareGate(const ShareGate &) = delete;
  ShareGate &operator=(const ShareGate &) = delete;
  virtual ~ShareGate() = default;

  /**
   * @brief Charges one request, now or once a loan of share has arrived.
   * @param workspace The workspace.
   * @param wait_limit How long the request waits.
   * @param done Called exactly once, possibly from in here.
   */
  virtual void Charge(const std::string &workspace, WaitLimit wait_limit,
                      Done done) = 0;
};

/*! @brief What may be done with a request identifier. */
enum class OnceVerdict {
  kRun,
  kNotRun,
  kAnswered,
  kInProgress,
  kUnknown,
  kExpired
};

/*! @brief What the owner of a request identifier says. */
struct OnceAnswer {
  OnceVerdict verdict{OnceVerdict::kUnknown};
  CallReply reply; /*!< The first answer, when it is still held. */
  std::string body;
  Duration retry_after{};
};

/*! @brief Lets each identifier of a non-idempotent request run at most once. */
class OnceGate {
 public:
  using Done = std::function<void(OnceAnswer)>;

  OnceGate() = default;
  OnceGate(const OnceGate &) = delete;
  OnceGate &operator=(const OnceGate &) = delete;
  virtual ~OnceGate() = default;

  /**
   * @brief Asks to run an identifier.
   * @param key Workspace and identifier.
   * @param minted_here Whether this node minted it, so that nobody else can
   * have used it.
   * @param deadline When the request's caller needs its answer.
   * @param done Called exactly once.
   */
  virtual void Begin(const std::string &key, bool minted_here, Time deadline,
                     Done done) = 0;

  /**
   * @brief Tells how a run ended.
   * @param key Workspace and identifier.
   * @param reply The answer.
   * @param body Its body.
   */
  virtual void End(const std::string &key, const CallReply &reply,
                   const std::string &body) = 0;
};

}  // namespace pollenring

MSGPACK_ADD_ENUM(pollenring::OnceVerdict)

#endif  // POLLENRING_NODE_GATES_H_
