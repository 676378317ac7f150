#ifndef POLLENRING_ROUTING_KIND_TIMES_H_
#define POLLENRING_ROUTING_KIND_TIMES_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pollenring {

/*! @brief Usual time of work at a target, relative to others of its service. */
struct TargetSpeed {
  double log_factor{};
  double factor{1}; /*!< `exp(log_factor)`; above 1 if it is slower. */
  bool known{};
};

/**
 * @brief Separates the times that targets report into kind and target.
 *
 * Models a time as kind x target and follows each report, so that a target's
 * factor does not depend on the mix of kinds that it serves or reports.
 */
class KindTimes {
 public:
  /**
   * @brief Learns from a report.
   * @param kind Kind of the call.
   * @param us Usual own time of the kind at the target.
   * @param samples Requests that it rests on.
   * @param target The target's speed; updated.
   */
  void Learn(std::string_view kind, double us, double samples,
             TargetSpeed &target);

  /**
   * @brief Returns the time of a kind at a target of factor 1.
   * @param kind The kind; of one that is unknown, the mean of all.
   * @return The time in microseconds; 0 if nothing is known.
   */
  [[nodiscard]] double Of(std::string_view kind) const noexcept;

 private:
  struct Kind {
    std::string name;
    double log_us{};
    double us{};
  };

  [[nodiscard]] Kind *Find(std::string_view kind) noexcept;

  std::vector<Kind> kinds; /*!< Few; at most a service's routes. */
};

}  // namespace pollenring

#endif  // POLLENRING_ROUTING_KIND_TIMES_H_
