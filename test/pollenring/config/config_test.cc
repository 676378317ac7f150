#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <set>

#include "pollenring/config/config_all.h"
#include "pollenring/core/random.h"
#include "pollenring/storage/memory_storage.h"
#include "support/seeds.h"

namespace {

using pollenring::CommitReport;
using pollenring::CommitResult;
using pollenring::ConfigChange;
using pollenring::ConfigLedger;
using pollenring::ManualClock;
using pollenring::MemoryObjectStore;
using pollenring::MemoryTable;
using pollenring::Publisher;
using pollenring::SeededRandom;
using pollenring::StoreReader;

[[nodiscard]] ConfigChange MakeChange(std::uint64_t version,
                                      const std::string &name,
                                      const std::string &text) {
  ConfigChange change;
  change.version = version;
  change.author = "test";
  change.documents.push_back({name, {}, text});
  return change;
}

/*! @brief A node that follows the table and passes its configuration to peers.
 */
struct Follower {
  explicit Follower(MemoryTable &table, MemoryObjectStore &objects)
      : ledger{std::make_unique<ConfigLedger>([this](std::uint64_t version) {
          REQUIRE(version > this->highest);
          this->highest = version;
        })},
        reader{table, objects, *ledger} {}
  std::uint64_t highest{};
  std::unique_ptr<ConfigLedger> ledger;
  StoreReader reader;
};

}  // namespace

TEST_CASE("config: concurrent publishers and lost replies yield one order") {
  for (const auto seed : support::Seeds(20)) {
    INFO("seed " << seed);
    SeededRandom random{seed};
    ManualClock clock{std::chrono::hours{1}};
    MemoryTable table;
    MemoryObjectStore objects;
    Publisher publisher{table, clock};
    std::vector<std::unique_ptr<Follower>> nodes;
    for (int i = 0; i < 5; ++i) {
      nodes.push_back(std::make_unique<Follower>(table, objects));
    }
    std::uint64_t committed = 0;
    std::vector<pollenring::ConfigCatchUp> in_flight;
    for (std::uint64_t i = 0; i < support::Steps(3000); ++i) {
      table.Faults().down = random.Chance(0.1);
      table.Faults().lose_write_responses = random.Chance(0.2);
      Follower &node = *nodes[random.Index(nodes.size())];
      const auto base = node.ledger->Version();
      const auto name = "key/" + std::to_string(random.Index(50));
      const auto text = "w" + std::to_string(i);
      publisher.Commit(MakeChange(base + 1, name, text),
                       [&](CommitReport report) {
                         if (report.result == CommitResult::kCommitted) {
                           ++committed;
                           node.ledger->Apply(report.change);
                         }
                         if (report.result == CommitResult::kConflict) {
                           REQUIRE_FALSE(report.conflicts.empty());
                         }
                       });
      // Versions spread between nodes and from the table, in any order.
      Follower &from = *nodes[random.Index(nodes.size())];
      Follower &to = *nodes[random.Index(nodes.size())];
      // Messages may arrive much later, at any node, and twice.
      in_flight.push_back(from.ledger->Since(to.ledger->Version()));
      if (in_flight.size() > 20) in_flight.erase(in_flight.begin());
      const auto arrived = in_flight[random.Index(in_flight.size())];
      to.ledger->Apply(arrived);
      to.ledger->Apply(in_flight.back());
      if (random.Chance(0.3)) to.reader.CatchUp([](bool) {});
      if (random.Chance(0.01)) {
        // A restart loses everything; the node gets its peers' highest version.
        auto &slot = nodes[random.Index(nodes.size())];
        slot = std::make_unique<Follower>(table, objects);
        for (const auto &peer : nodes) {
          slot->ledger->Apply(peer->ledger->Since(slot->ledger->Version()));
        }
      }
    }
    table.Faults() = {};
    for (const auto &node : nodes) node->reader.CatchUp([](bool) {});
    for (const auto &node : nodes) {
      CHECK(node->ledger->Version() == nodes[0]->ledger->Version());
      CHECK(node->ledger->All() == nodes[0]->ledger->All());
    }
    // Whatever was reported as committed is there, and nothing twice.
    CHECK(nodes[0]->ledger->Version() >= committed);
    CHECK(committed > 100);
  }
}

TEST_CASE("config: a peer far behind gets a snapshot") {
  ConfigLedger ahead{[](std::uint64_t) {}};
  for (std::uint64_t version = 1; version <= 600; ++version) {
    ahead.Apply(
        MakeChange(version, "key/k" + std::to_string(version % 7), "w"));
  }
  ConfigLedger behind{[](std::uint64_t) {}};
  const auto catch_up = ahead.Since(0);
  CHECK(catch_up.snapshot.size() == 1);
  behind.Apply(catch_up);
  CHECK(behind.Version() == 600);
  CHECK(behind.All() == ahead.All());
  CHECK_FALSE(behind.Apply(MakeChange(599, "key/x", "w")));
  // The same snapshot, late and after a change, reverts nothing.
  CHECK(behind.Apply(MakeChange(601, "key/x", "w")));
  CHECK_FALSE(behind.Apply(catch_up.snapshot.front()));
  CHECK(behind.Version() == 601);
  CHECK(behind.All().count("key/x") == 1);
}
