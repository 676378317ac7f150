#ifndef POLLENRING_NODE_TARGET_CODEC_H_
#define POLLENRING_NODE_TARGET_CODEC_H_

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
  Duration left{};             /*!< Time until the call's deadline. */
};

/*! @brief What an answer says by its status and headers. */
struct ResponseSignals {
  bool wrong_instance{}; /*!< It comes from another start than was meant. */
  bool not_run{};        /*!< The target says that it has not run the call. */
  bool implies_not_executed{}; /*!< Passed on, it would say that to the caller.
                                */
  bool genuine{true}; /*!< It is the target's own, whole, for this call. */
  bool unnamed{};     /*!< It does not name this call, as targets do. */
  bool busy{};        /*!< The target has too much to do. */
};

/*! @brief What follows from an answer of a target. */
struct TargetVerdict {
  Outcome outcome{Outcome::kRan};
  Reason reason{Reason::kNone}; /*!< Unless the answer may be passed on. */
  bool shed{};                  /*!< Whether the target was too busy. */
};

/**
 * @brief Decides what is known of a call after its answer.
 * @param signs What the answer says.
 * @param status Its status.
 * @return Whether the call has run, and whether the answer is passed on.
 */
[[nodiscard]] TargetVerdict ClassifyResponse(const ResponseSignals &signs,
                                             int status) noexcept;

/*! @brief How calls and answers are written between a node and its target. */
class TargetCodec {
 public:
  TargetCodec() = default;
  TargetCodec(const TargetCodec &) = delete;
  TargetCodec &operator=(const TargetCodec &) = delete;
  virtual ~TargetCodec() = default;

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
  [[nodiscard]] virtual CorrelationHeader CorrelationHeaderOf(
      const CallEnvelope &envelope) const = 0;

  /**
   * @brief Reads an answer.
   * @param envelope The call.
   * @param answer The whole answer.
   * @return What it says.
   */
  [[nodiscard]] virtual ResponseSignals Read(
      const CallEnvelope &envelope, const HttpResponse &answer) const = 0;

  /**
   * @brief Chooses the headers of an answer that its caller may see.
   * @param headers Headers of the answer.
   * @return Those to pass on.
   */
  [[nodiscard]] virtual std::vector<WireHeader> ForwardableResponseHeaders(
      const HttpHeaders &headers) const = 0;
};

/*! @brief The project's own headers, as docs/CONTRACTS.md lists them. */
class ContextCodec final : public TargetCodec {
 public:
  void AddHeaders(const TargetCall &call, HttpRequest &request) const override;
  [[nodiscard]] CorrelationHeader CorrelationHeaderOf(
      const CallEnvelope &envelope) const override;
  [[nodiscard]] ResponseSignals Read(const CallEnvelope &envelope,
                                     const HttpResponse &answer) const override;
  [[nodiscard]] std::vector<WireHeader> ForwardableResponseHeaders(
      const HttpHeaders &headers) const override;
};

}  // namespace pollenring

#endif  // POLLENRING_NODE_TARGET_CODEC_H_
