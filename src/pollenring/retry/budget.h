#ifndef POLLENRING_RETRY_BUDGET_H_
#define POLLENRING_RETRY_BUDGET_H_

#include <chrono>
#include <string>
#include <unordered_map>

#include "pollenring/core/clock.h"
#include "pollenring/core/random.h"
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

  /**
   * @brief Counts a call on behalf of a run that was itself a retry.
   * @param service The service that is called.
   */
  virtual void RecordRetriedCall(const std::string &service) = 0;

  /*! @brief Spends a retry. @param service Service. @return If allowed. */
  [[nodiscard]] virtual bool Spend(const std::string &service) = 0;
};

/*! @brief A ceiling per service, on each node by itself. */
class NodeRetryBudget final : public RetryBudget {
 public:
  void Succeeded(const std::string &service) override {
    this->ceilings[service].Succeeded();
  }
  void RecordRetriedCall(const std::string & /*service*/) override {
    // The allowance of the request bounds what its retries cause below.
  }
  [[nodiscard]] bool Spend(const std::string &service) override {
    return this->ceilings[service].Spend();
  }

 private:
  std::unordered_map<std::string, RetryCeiling> ceilings;
};

/*! @brief What all nodes together may spend on retries. */
struct TrafficRetryOptions {
  double share{0.06}; /*!< Retries earned by each answered call. */
  /*! @brief Time after which what was earned counts a third: in a chain of four
   * services that begin to fail at once each level spends its savings. */
  Duration savings_last{std::chrono::seconds{3}};
  /*! @brief Time after which what is owed counts a third; the users' window. */
  Duration debt_lasts{std::chrono::seconds{10}};
  double most_owed{50}; /*!< Debt beyond which nothing more is added. */
};

/**
 * @brief A budget per service that all nodes keep to without a word.
 *
 * Each node spends what its own calls have earned of late, so the sum is bound
 * by the traffic of all nodes, however many they are and whomever they see. A
 * node that has earned a part of a retry draws for a whole one. Calls made by a
 * run that was itself a retry are charged as retries, so that a chain of
 * services stays within the bound of one. A process starts with nothing, since
 * what the one before it spent is not known.
 */
class TrafficRetryBudget final : public RetryBudget {
 public:
  /**
   * @brief Starts with nothing saved.
   * @param options Limits.
   * @param clock Clock.
   * @param random Draws for parts of a retry.
   */
  TrafficRetryBudget(const TrafficRetryOptions &options, const Clock &clock,
                     Random &random)
      : options{options}, clock{clock}, random{random} {}

  void Succeeded(const std::string &service) override;
  void RecordRetriedCall(const std::string &service) override;
  [[nodiscard]] bool Spend(const std::string &service) override;

 private:
  struct Account {
    double saved{}; /*!< Retries; below 0 when owed. */
    Time as_of{};
  };

  [[nodiscard]] Account &AccountOf(const std::string &service);

  TrafficRetryOptions options;
  const Clock &clock;
  Random &random;
  std::unordered_map<std::string, Account> accounts;
};

}  // namespace pollenring

#endif  // POLLENRING_RETRY_BUDGET_H_
