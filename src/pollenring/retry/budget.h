#ifndef POLLENRING_RETRY_BUDGET_H_
#define POLLENRING_RETRY_BUDGET_H_

#include <algorithm>
#include <cstddef>
#include <functional>
#include <string>
#include <unordered_map>

#include "pollenring/retry/ceiling.h"

namespace pollenring {

/*! @brief Bounds how often calls towards a service are sent once more. */
class RetryBudget {
 public:
  RetryBudget() = default;
  RetryBudget(const RetryBudget &) = delete;
  RetryBudget &operator=(const RetryBudget &) = delete;
  virtual ~RetryBudget() = default;

  /*! @brief Counts a call that its target answered. @param service Service. */
  virtual void Succeeded(const std::string &service) = 0;

  /*! @brief Whether a retry would be allowed. @param service Service.
   * @return So. */
  [[nodiscard]] virtual bool Allows(const std::string &service) = 0;

  /*! @brief Spends a retry. @param service Service. @return If allowed. */
  [[nodiscard]] virtual bool Spend(const std::string &service) = 0;
};

/*! @brief A ceiling per service, on each node by itself. */
class NodeRetryBudget final : public RetryBudget {
 public:
  void Succeeded(const std::string &service) override {
    this->ceilings[service].Succeeded();
  }
  [[nodiscard]] bool Allows(const std::string &service) override {
    return this->ceilings[service].Allows();
  }
  [[nodiscard]] bool Spend(const std::string &service) override {
    return this->ceilings[service].Spend();
  }

 private:
  std::unordered_map<std::string, RetryCeiling> ceilings;
};

/*! @brief What all nodes together may spend on retries. */
struct FleetRetryOptions {
  double share{0.08}; /*!< Retries earned by each answered call. */
  double reserve{24}; /*!< Most that all nodes together save up. */
};

/**
 * @brief One budget per service for all nodes together.
 *
 * Each node keeps its part of the reserve, so that the sum holds without a word
 * between them. It starts with nothing, since what the process before it spent
 * is not known.
 */
class FleetRetryBudget final : public RetryBudget {
 public:
  /**
   * @brief Starts with nothing saved.
   * @param options Limits.
   * @param nodes Tells how many nodes share the budget; 1 or more.
   */
  FleetRetryBudget(const FleetRetryOptions &options,
                   std::function<std::size_t()> nodes)
      : options{options}, nodes{std::move(nodes)} {}

  void Succeeded(const std::string &service) override {
    double &saved = this->saved[service];
    saved = std::min(this->Most(), saved + this->options.share);
  }

  [[nodiscard]] bool Allows(const std::string &service) override {
    return this->saved[service] >= 1;
  }

  [[nodiscard]] bool Spend(const std::string &service) override {
    if (!this->Allows(service)) return false;
    this->saved[service] -= 1;
    return true;
  }

 private:
  [[nodiscard]] double Most() const {
    const auto count = static_cast<double>(this->nodes());
    return std::max(1.0, this->options.reserve / count);
  }

  FleetRetryOptions options;
  std::function<std::size_t()> nodes;
  std::unordered_map<std::string, double> saved;
};

}  // namespace pollenring

#endif  // POLLENRING_RETRY_BUDGET_H_
