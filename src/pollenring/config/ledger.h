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
  std::vector<ConfigSnapshot> snapshot; /*!< One when changes don't suffice. */
  MSGPACK_DEFINE(changes, snapshot)
};

/**
 * @brief The active configuration of this node; its version only increases.
 */
class ConfigLedger {
 public:
  using Installed = std::function<void(std::uint64_t version)>;

  /**
   * @brief Starts at version 0, which is empty.
   * @param installed Called after each new version is active.
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
   * @return The changes since, or a snapshot when they are no longer kept.
   */
  [[nodiscard]] ConfigCatchUp Since(std::uint64_t from) const;

  /*! @brief Copies all documents. @return A snapshot. */
  [[nodiscard]] ConfigSnapshot Snapshot() const {
    return {this->version, this->documents};
  }

  /**
   * @brief Applies the next change.
   * @param change The change.
   * @return True if it was the next one; any other is ignored.
   */
  bool Apply(const ConfigChange &change);

  /**
   * @brief Applies a snapshot.
   * @param snapshot The snapshot.
   * @return True if it was newer; any other is ignored.
   */
  bool Apply(const ConfigSnapshot &snapshot);

  /**
   * @brief Applies what a peer sent.
   * @param catch_up Changes or a snapshot.
   */
  void Apply(const ConfigCatchUp &catch_up);

 private:
  static constexpr std::size_t kMaxRecentChanges = 256;

  void SetDocument(const std::string &name, const std::string &text);
  void AdvanceTo(std::uint64_t next);

  Installed installed;
  std::uint64_t version{};
  Documents documents;
  Policy policy;
  std::deque<ConfigChange> recent;
};

}  // namespace pollenring

#endif  // POLLENRING_CONFIG_LEDGER_H_
