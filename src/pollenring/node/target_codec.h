#ifndef POLLENRING_NODE_TARGET_CODEC_H_
#define POLLENRING_NODE_TARGET_CODEC_H_

#include <optional>
#include <string>

#include "pollenring/admission/target_load.h"
#include "pollenring/core/outcome.h"
#include "pollenring/net/http_client.h"
#include "pollenring/net/http_message.h"
#include "pollenring/node/wire.h"

namespace pollenring {

/*! @brief A call about to be sent to the local target. */
struct TargetCall {
  const CallEnvelope &envelope;
  const std::string &context;  /*!< Identifies the call in its sub-calls. */
  const std::string &instance; /*!< Of the target; empty if unknown. */
  Duration remaining{};        /*!< Time until the call's deadline. */
};

/*! @brief Signals in the status and headers of a response. */
struct ResponseSignals {
  bool wrong_instance{}; /*!< Sent by another instance than was called. */
  bool not_run{};        /*!< The target states that it did not run the call. */
  bool implies_not_executed{}; /*!< Callers infer so from its status. */
  bool genuine{true};  /*!< The target's own complete response to this call. */
  bool uncorrelated{}; /*!< Lacks the identifier of this call. */
  bool overloaded{};   /*!< The target is overloaded. */
  bool leaving{};      /*!< The target is about to leave. */
  /*! @brief Requests per second that the target takes from all nodes
   * together; empty if it states none. */
  std::optional<double> rate_limit;
  std::optional<TargetLoad> load; /*!< Empty if it reports none. */
  bool invalid_load{};            /*!< It reports an implausible load. */
};

/*! @brief Result of classifying a target's response. */
struct TargetVerdict {
  Outcome outcome{Outcome::kRan};
  Reason reason{Reason::kNone}; /*!< `kNone` if it may be forwarded. */
  bool shed{};                  /*!< Whether the target was overloaded. */
};

/**
 * @brief Decides from its response whether a call has run.
 * @param signals Signals in the response.
 * @param status Its status.
 * @return Whether the call has run, and whether to forward the response.
 */
[[nodiscard]] TargetVerdict ClassifyResponse(const ResponseSignals &signals,
                                             int status) noexcept;

/*! @brief Encoding of calls and responses between a node and its target. */
class TargetCodec {
 public:
  TargetCodec() = default;
  TargetCodec(const TargetCodec &) = delete;
  TargetCodec &operator=(const TargetCodec &) = delete;
  virtual ~TargetCodec() = default;

  /**
   * @brief Adds the headers that describe a call to its target.
   * @param call The call.
   * @param request Receives the headers.
   */
  virtual void AddHeaders(const TargetCall &call,
                          HttpRequest &request) const = 0;

  /**
   * @brief Returns the header by which a response identifies its request.
   * @param envelope The call.
   * @return The header; empty if responses carry none.
   */
  [[nodiscard]] virtual CorrelationHeader CorrelationHeaderOf(
      const CallEnvelope &envelope) const = 0;

  /**
   * @brief Reads the signals in a response.
   * @param envelope The call.
   * @param response The complete response.
   * @return The signals.
   */
  [[nodiscard]] virtual ResponseSignals Read(
      const CallEnvelope &envelope, const HttpResponse &response) const = 0;

  /**
   * @brief Selects the response headers that the caller may see.
   * @param headers Headers of the response.
   * @return The headers to forward.
   */
  [[nodiscard]] virtual std::vector<WireHeader> ForwardableResponseHeaders(
      const HttpHeaders &headers) const = 0;
};

/*! @brief The project's own headers; docs/CONTRACTS.md lists them. */
class ContextCodec final : public TargetCodec {
 public:
  void AddHeaders(const TargetCall &call, HttpRequest &request) const override;
  [[nodiscard]] CorrelationHeader CorrelationHeaderOf(
      const CallEnvelope &envelope) const override;
  [[nodiscard]] ResponseSignals Read(
      const CallEnvelope &envelope,
      const HttpResponse &response) const override;
  [[nodiscard]] std::vector<WireHeader> ForwardableResponseHeaders(
      const HttpHeaders &headers) const override;
};

}  // namespace pollenring

#endif  // POLLENRING_NODE_TARGET_CODEC_H_
