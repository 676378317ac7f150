#ifndef POLLENRING_RETRY_BUDGET_H_
#define POLLENRING_RETRY_BUDGET_H_

#include <chrono>
#include <string>
#include <unordered_map>

#include "pollenring/core/clock.h"
#include "pollenring/core/random.h"
#include "pollenring/retry/ceiling.h"
#include "pollenring/retry/retry_rank.h"

namespace pollenring {

/*! @brief Limits how often calls to a service are retried. */
class RetryBudget {
 public:
  RetryBudget() = default;
  RetryBudget(const RetryBudget &) = delete;
  RetryBudget &operator=(const RetryBudget &) = delete;
  virtual ~RetryBudget() = default;

  /**
   * @brief Counts a call that reached a target and was no retry.
   * @param service The called service.
   * @param answered Whether the target ran it; it rejected it otherwise.
   */
  virtual void RecordFirstCall(const std::string &service, bool answered) = 0;

  /**
   * @brief Counts a call made on behalf of a run that was itself a retry.
   * @param service The called service.
   */
  virtual void RecordRetriedCall(const std::string &service) = 0;

  /**
   * @brief Records whether a service's targets make calls themselves.
   * @param service The service.
   * @param makes_no_calls Whether they make none.
   */
  virtual void SetMakesNoCalls(const std::string &service,
                               bool makes_no_calls) = 0;

  /**
   * @brief Spends a retry.
   * @param service The called service.
   * @param priority Priority of the call.
   * @return True if it is allowed.
   */
  [[nodiscard]] virtual bool Spend(const std::string &service,
                                   double priority) = 0;

  /**
   * @brief Priority from which calls to a service are retried.
   * @param service The service.
   * @return The priority; 0 if all are.
   */
  [[nodiscard]] virtual double RetriedFrom(const std::string &service) = 0;
};

/*! @brief A retry ceiling per service, local to each node. */
class NodeRetryBudget final : public RetryBudget {
 public:
  void RecordFirstCall(const std::string &service, bool answered) override {
    if (answered) this->ceilings[service].RecordSuccess();
  }
  void RecordRetriedCall(const std::string & /*service*/) override {
    // The request's allowance limits the retries caused downstream.
  }
  void SetMakesNoCalls(const std::string & /*service*/,
                       bool /*makes_no_calls*/) override {}
  [[nodiscard]] bool Spend(const std::string &service,
                           double /*priority*/) override {
    return this->ceilings[service].Spend();
  }
  [[nodiscard]] double RetriedFrom(const std::string & /*service*/) override {
    return 0;
  }

 private:
  std::unordered_map<std::string, RetryCeiling> ceilings;
};

/*! @brief Limits on the retries of all nodes together. */
struct TrafficRetryOptions {
  double retry_ratio{0.06}; /*!< Retries earned per first call. */
  /**
   * @brief As `retry_ratio`, at services whose targets make no calls: retries
   * there don't multiply. With the savings, 0.15 x 1 s, a window of 10 s has
   * 0.165 of its requests, below the bound of 0.2.
   */
  double leaf_retry_ratio{0.15};
  /*! @brief Retry the calls with the highest priority first, and earn by calls
   * that were rejected too. */
  bool ranked{true};
  /**
   * @brief Time constant of the decay of savings. In a chain of four services
   * that start to fail together, each one spends its savings.
   */
  Duration savings_decay{std::chrono::seconds{3}};
  /*! @brief Time constant of the decay of debt; the retry bound's window. */
  Duration debt_decay{std::chrono::seconds{10}};
  double max_debt{50}; /*!< Maximum debt. */
};

/**
 * @brief A retry budget per service that holds over all nodes without
 * coordination.
 *
 * Each node spends what its own calls have earned recently, so the total is
 * bounded by the traffic of all nodes, regardless of their number and of
 * membership. A node that has earned only a fraction of a retry retries with
 * that probability. Calls made by a run that was itself a retry are charged as
 * retries, which keeps a chain of services within the bound of one. A process
 * starts with nothing, since what its predecessor spent is unknown.
 */
class TrafficRetryBudget final : public RetryBudget {
 public:
  /**
   * @brief Starts without savings.
   * @param options Limits.
   * @param clock Clock.
   * @param random Random source for fractions of a retry.
   */
  TrafficRetryBudget(const TrafficRetryOptions &options, const Clock &clock,
                     Random &random)
      : options{options}, clock{clock}, random{random} {}

  void RecordFirstCall(const std::string &service, bool answered) override;
  void RecordRetriedCall(const std::string &service) override;
  void SetMakesNoCalls(const std::string &service,
                       bool makes_no_calls) override;
  [[nodiscard]] bool Spend(const std::string &service,
                           double priority) override;
  [[nodiscard]] double RetriedFrom(const std::string &service) override;

 private:
  struct Account {
    double balance{}; /*!< Retries; negative if owed. */
    Time as_of{};
    Time leaf_until{}; /*!< Until when its targets count as making no calls. */
    RetryRank rank;
  };

  [[nodiscard]] Account &AccountOf(const std::string &service);
  [[nodiscard]] bool Grant(Account &account, double priority);

  TrafficRetryOptions options;
  const Clock &clock;
  Random &random;
  std::unordered_map<std::string, Account> accounts;
};

}  // namespace pollenring

#endif  // POLLENRING_RETRY_BUDGET_H_
