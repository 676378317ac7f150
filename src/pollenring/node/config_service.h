#ifndef POLLENRING_NODE_CONFIG_SERVICE_H_
#define POLLENRING_NODE_CONFIG_SERVICE_H_

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "pollenring/config/ledger.h"
#include "pollenring/config/publisher.h"
#include "pollenring/config/store_reader.h"
#include "pollenring/link/link_client.h"
#include "pollenring/net/loop.h"
#include "pollenring/node/gates.h"
#include "pollenring/node/ingress.h"
#include "pollenring/node/member_service.h"
#include "pollenring/storage/storage.h"

namespace pollenring {

/*! @brief Result of a publication. */
struct PublishReport {
  CommitReport commit;
  std::vector<std::string> unconfirmed_zones;

  /*! @brief Whether nodes in all zones hold the change. @return True if so. */
  [[nodiscard]] bool Accepted() const noexcept {
    return this->commit.result == CommitResult::kCommitted &&
           this->unconfirmed_zones.empty();
  }
};

/**
 * @brief Keeps the configuration up to date and publishes changes.
 *
 * Versions spread between nodes. One node per zone also polls the platform.
 */
class ConfigService final : public Freshness, public WorkspaceRates {
 public:
  using Done = std::function<void(PublishReport)>;

  /**
   * @brief Creates the service at version 0.
   * @param loop The loop.
   * @param members Membership.
   * @param link Client for streams to other nodes.
   * @param table The platform's table.
   * @param objects The platform's object store.
   * @param random Chooses peers to contact.
   */
  ConfigService(Loop &loop, MemberService &members, LinkClient &link,
                Table &table, ObjectStore &objects, Random &random);

  [[nodiscard]] const ConfigLedger &Ledger() const noexcept {
    return this->ledger;
  }
  [[nodiscard]] bool Fresh() const override;
  [[nodiscard]] std::optional<WorkspaceRateLimit> RateOf(
      const std::string &workspace) const override;

  /*! @brief Starts to poll the platform and to follow peers. */
  void Start();

  /**
   * @brief Builds the reply to a peer that lacks versions.
   * @param body The peer's version.
   * @return The versions that it lacks.
   */
  [[nodiscard]] std::string ReplyToCatchUp(const std::string &body) const;

  /**
   * @brief Commits a change and waits until all zones confirm it.
   * @param change The change; its version is the one after its base.
   * @param done Called once.
   */
  void Publish(ConfigChange change, Done done);

 private:
  void HandleInstalled(std::uint64_t version);
  void HandlePeerVersion(NodeId peer, std::uint64_t version);
  void Pull(NodeId peer);
  void Poll();
  void SpreadVersion();
  [[nodiscard]] bool ShouldPollForZone() const;
  [[nodiscard]] std::vector<std::string> ZonesBehind(
      std::uint64_t version) const;
  void AwaitZones(const CommitReport &report, Time until, const Done &done);

  Loop &loop;
  MemberService &members;
  LinkClient &link;
  ObjectStore &objects;
  Random &random;
  ConfigLedger ledger;
  StoreReader reader;
  Publisher publisher;
  std::unordered_map<NodeId, std::uint64_t> peer_versions;
  Time last_store_contact;
  Time last_contact_request{};
  bool pulling{};
  bool polling{};
};

}  // namespace pollenring

#endif  // POLLENRING_NODE_CONFIG_SERVICE_H_
