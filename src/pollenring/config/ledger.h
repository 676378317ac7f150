#ifndef POLLENRING_CONFIG_LEDGER_H_
#define POLLENRING_CONFIG_LEDGER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

#include "pollenring/config/change.h"
#include "pollenring/contract/policy.h"

namespace pollenring {

/*! @brief What a peer needs to reach this node's version. */
struct ConfigCatchUp {
  std::vector<ConfigChange> changes;
  std::vector<ConfigSnapshot> snapshot; /*!< One when changes don't reach. */
  MSGPACK_DEFINE(changes, snapshot)
};

/**
 * @brief The configuration in force on this node; its version only grows.
 */
class ConfigLedger {
 public:
  using Installed = std::function<void(std::uint64_t version)>;

  /**
   * @brief Starts at version 0, which declares nothing.
   * @param installed Called after each new version is in force.
   */
  explicit ConfigLedger(Installed installed)
      : installed{std::move(installed)} {}

  [[nodiscard]] std::uint64_t Version() const noexcept { return this->version; }
  [[nodiscard]] const Policy &Active() const noexcept { return this->policy; }
  [[nodiscard]] const Documents &All() const noexcept {
    return this->documents;
  }

  /**
   * @brief Collects what a peer lacks.
   * @param from The peer's version.
   * @return The changes since, or a snapshot when they are forgotten here.
   */
  [[nodiscard]] ConfigCatchUp Since(std::uint64_t from) const;

  /*! @brief Copies everything. @return A snapshot. */
  [[nodiscard]] ConfigSnapshot Snapshot() const {
    return {this->version, this->documents};
  }

  /**
   * @brief Puts the next change into force.
   * @param change The change.
   * @return Whether it was the next one; any other is left out.
   */
  bool Apply(const ConfigChange &change);

  /**
   * @brief Puts a snapshot into force.
   * @param snapshot The snapshot.
   * @return Whether it was newer; an older one is left out.
   */
  bool Apply(const ConfigSnapshot &snapshot);

  /**
   * @brief Puts into force what a peer sent.
   * @param catch_up What it sent.
   */
  void Apply(const ConfigCatchUp &catch_up);

 private:
  static constexpr std::size_t kChangesKept = 256;

  void Put(const std::string &name, const std::string &text);
  void MoveTo(std::uint64_t next);

  Installed installed;
  std::uint64_t version{};
  Documents documents;
  Policy policy;
  std::deque<ConfigChange> recent;
};

}  // namespace pollenring

#endif  // POLLENRING_CONFIG_LEDGER_H_
