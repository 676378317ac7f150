#ifndef POLLENRING_LEASE_PROMISES_H_
#define POLLENRING_LEASE_PROMISES_H_

#include <algorithm>
#include <functional>
#include <map>
#include <vector>

#include "pollenring/core/clock.h"
#include "pollenring/lease/slot_row.h"

namespace pollenring {

/*! @brief What a holder has been promised for one row. */
class Promises {
 public:
  Promises() = default;

  /**
   * @brief Starts without promises.
   * @param row The row.
   */
  explicit Promises(SlotRow row) : row{std::move(row)} {}

  [[nodiscard]] const SlotRow &Row() const noexcept { return this->row; }

  /**
   * @brief Time until which a majority has promised.
   * @return That time, or the clock's epoch when there is none.
   */
  [[nodiscard]] Time ValidUntil() const {
    std::vector<Time> ends;
    for (const auto &[witness, until] : this->until) ends.push_back(until);
    const std::size_t needed = this->row.Majority();
    if (ends.size() < needed) return Time{};
    std::sort(ends.begin(), ends.end(), std::greater<>{});
    return ends[needed - 1];
  }

  /**
   * @brief Takes in a promise.
   * @param witness Who gave it.
   * @param end When it ends, on this node's clock.
   */
  void Given(const ProcessRef &witness, Time end) {
    const auto &all = this->row.witnesses;
    if (std::find(all.begin(), all.end(), witness) == all.end()) return;
    Time &known = this->until[witness];
    known = std::max(known, end);
  }

 private:
  SlotRow row;
  std::map<ProcessRef, Time> until;
};

}  // namespace pollenring

#endif  // POLLENRING_LEASE_PROMISES_H_
