#ifndef POLLENRING_NODE_CALL_ATTRIBUTION_H_
#define POLLENRING_NODE_CALL_ATTRIBUTION_H_

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "pollenring/core/clock.h"

namespace pollenring {

/**
 * @brief Estimates which kinds of requests make a target's calls, without
 * knowing whose any single call is.
 *
 * At a moment when a call of one kind of request is made, that request itself
 * is running: one more than on average, if requests come independently. So the
 * mean number of running requests of a kind at the moments of calls, less its
 * mean over time, is the part of the calls that this kind makes. Kinds that
 * make none are as many then as at any time.
 */
class CallAttribution {
 public:
  /**
   * @brief Starts without kinds.
   * @param now Time.
   */
  explicit CallAttribution(Time now) noexcept;

  /*! @brief A request begins. @param kind Its kind. @param now Time. */
  void Begin(const std::string &kind, Time now);

  /*! @brief A request ends. @param kind Its kind. @param now Time. */
  void End(const std::string &kind, Time now);

  /*! @brief A call is made. @param callee What is called. @param now Time. */
  void Called(const std::string &callee, Time now);

  /**
   * @brief Estimates the part of the calls to a callee that a kind makes.
   * @param kind The kind.
   * @param callee What is called.
   * @return From 0 to 1, or nothing while too few calls were seen.
   */
  [[nodiscard]] std::optional<double> ShareOf(const std::string &kind,
                                              const std::string &callee) const;

  /**
   * @brief Lists the kinds that make calls to a callee.
   *
   * While too few calls were seen to tell kinds apart, those are taken that
   * mostly run when it is called, if it is called often.
   * @param callee What is called.
   * @param least Least share.
   * @return Their names; none when nothing is known.
   */
  [[nodiscard]] std::vector<std::string> CallersOf(const std::string &callee,
                                                   double least) const;

  /**
   * @brief Mean number of running requests of a kind.
   * @param kind The kind.
   * @return The number, at least a little above 0.
   */
  [[nodiscard]] double MeanRunning(const std::string &kind) const;

 private:
  struct Kind {
    int running{};
    Time since{};     /*!< Of the running number. */
    double seconds{}; /*!< Requests times seconds in this window. */
    double mean{};    /*!< Running requests, over some windows. */
    Time used{};
  };
  /*! @brief What was seen at the calls to one callee. */
  struct Callee {
    double calls{};     /*!< In this window. */
    double all_calls{}; /*!< In all windows, faded. */
    double frequent{};  /*!< Of late, faded over a second. */
    double total{};     /*!< Until enough was seen. */
    Time used{};
    std::unordered_map<std::string, double> seen;    /*!< In this window. */
    std::unordered_map<std::string, double> excess;  /*!< In all, faded. */
    std::unordered_map<std::string, double> present; /*!< Calls while it ran,
                                                        of the total. */
  };

  /*! @brief Finds a callee of which enough was seen, or null. */
  [[nodiscard]] const Callee *Known(const std::string &callee) const;
  [[nodiscard]] std::vector<std::string> EarlyCallersOf(
      const std::string &callee) const;
  [[nodiscard]] static double SumOf(const Callee &callee) noexcept;
  void CloseWindow(Time now);
  static void Count(Kind &kind, int change, Time now);

  std::unordered_map<std::string, Kind> kinds;
  std::unordered_map<std::string, Callee> callees;
  Time window_start{};
  Duration window{};
};

}  // namespace pollenring

#endif  // POLLENRING_NODE_CALL_ATTRIBUTION_H_
