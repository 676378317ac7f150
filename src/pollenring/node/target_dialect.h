#ifndef POLLENRING_NODE_TARGET_DIALECT_H_
#define POLLENRING_NODE_TARGET_DIALECT_H_

#include <string>

#include "pollenring/core/outcome.h"
#include "pollenring/net/http_client.h"
#include "pollenring/net/http_message.h"
#include "pollenring/node/wire.h"

namespace pollenring {

/*! @brief A call about to be sent to the target beside this node. */
struct TargetCall {
  const CallEnvelope &envelope;
  const std::string &context;  /*!< Names the call in the target's own calls. */
  const std::string &instance; /*!< The target's start; empty if unknown. */
  Span left{};                 /*!< Time until the call's deadline. */
};

/*! @brief What an answer of a target says of the call. */
struct TargetVerdict {
  Outcome outcome{Outcome::kRan};
  Reason reason{Reason::kNone}; /*!< Unless the answer may be passed on. */
  bool shed{};                  /*!< Whether the target was too busy. */
};

/*! @brief How calls and answers are written between a node and its target. */
class TargetDialect {
 public:
  TargetDialect() = default;
  TargetDialect(const TargetDialect &) = delete;
  TargetDialect &operator=(const TargetDialect &) = delete;
  virtual ~TargetDialect() = default;

  /**
   * @brief Adds the headers that tell a target of a call.
   * @param call The call.
   * @param request Receives them.
   */
  virtual void AddHeaders(const TargetCall &call,
                          HttpRequest &request) const = 0;

  /**
   * @brief Tells how an answer names its request.
   * @param envelope The call.
   * @return The header, empty when answers name none.
   */
  [[nodiscard]] virtual AnswerMark MarkOf(
      const CallEnvelope &envelope) const = 0;

  /**
   * @brief Reads an answer.
   * @param envelope The call.
   * @param answer The whole answer.
   * @return What it says.
   */
  [[nodiscard]] virtual TargetVerdict Judge(
      const CallEnvelope &envelope, const HttpResponse &answer) const = 0;

  /**
   * @brief Chooses the headers of an answer that its caller may see.
   * @param headers Headers of the answer.
   * @return Those to pass on.
   */
  [[nodiscard]] virtual std::vector<WireHeader> PassAnswerHeaders(
      const HttpHeaders &headers) const = 0;
};

/*! @brief The project's own headers, as docs/CONTRACTS.md lists them. */
class ContextDialect final : public TargetDialect {
 public:
  void AddHeaders(const TargetCall &call, HttpRequest &request) const override;
  [[nodiscard]] AnswerMark MarkOf(const CallEnvelope &envelope) const override;
  [[nodiscard]] TargetVerdict Judge(const CallEnvelope &envelope,
                                    const HttpResponse &answer) const override;
  [[nodiscard]] std::vector<WireHeader> PassAnswerHeaders(
      const HttpHeaders &headers) const override;
};

}  // namespace pollenring

#endif  // POLLENRING_NODE_TARGET_DIALECT_H_
