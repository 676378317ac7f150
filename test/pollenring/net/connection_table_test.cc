#include "pollenring/net/connection_table.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cerrno>
#include <vector>

namespace {

using namespace std::chrono_literals;
using pollenring::ConnectionRole;
using pollenring::ConnectionTable;
using pollenring::kConnectionRoleNames;
using pollenring::ManualClock;
using pollenring::OpenConnection;

/*! @brief Connections of one role, some of them idle. */
class FakeConnections final : public pollenring::IdleConnections {
 public:
  FakeConnections(ConnectionTable &table, ConnectionRole role)
      : table{table}, role{role} {
    table.Register(role, *this);
  }
  ~FakeConnections() override { this->table.Unregister(*this); }

  void Open(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i)
      this->open.emplace_back(this->table, this->role);
  }

  std::size_t CloseIdle(std::size_t count) override {
    const std::size_t closed = std::min(count, this->idle);
    for (std::size_t i = 0; i < closed; ++i) this->open.pop_back();
    this->idle -= closed;
    return closed;
  }

  std::size_t idle{};
  std::vector<OpenConnection> open;

 private:
  ConnectionTable &table;
  ConnectionRole role;
};

}  // namespace

TEST_CASE("connection table: no role takes the descriptors of another") {
  const ManualClock clock;
  for (const std::size_t limit : {128, 1024, 4100, 65536}) {
    const ConnectionTable table{clock, limit};
    std::size_t total = 0;
    for (const auto &row : kConnectionRoleNames.rows) {
      CHECK(table.Capacity(row.value) >= 4);
      total += table.Capacity(row.value);
    }
    CAPTURE(limit);
    CHECK(total < limit);
  }
}

TEST_CASE("connection table: a full role evicts its own idle connections") {
  const ManualClock clock;
  ConnectionTable table{clock, 128};
  FakeConnections callers{table, ConnectionRole::kCallers};
  FakeConnections outgoing{table, ConnectionRole::kOutgoing};
  outgoing.Open(3);
  outgoing.idle = 3;
  callers.Open(table.Capacity(ConnectionRole::kCallers));
  CHECK_FALSE(table.MakeRoom(ConnectionRole::kCallers));
  callers.idle = 1;
  CHECK(table.MakeRoom(ConnectionRole::kCallers));
  CHECK(table.Counts(ConnectionRole::kCallers).evicted == 1);
  CHECK(outgoing.open.size() == 3);
  // Without descriptors in the system, those of all roles may go.
  CHECK(table.Evict(ConnectionRole::kCallers, 2) == 2);
  CHECK(outgoing.open.size() == 1);
}

TEST_CASE("connection table: a full role accepts again once one has ended") {
  ManualClock clock{1s};
  ConnectionTable table{clock, 128};
  FakeConnections callers{table, ConnectionRole::kCallers};
  callers.Open(table.Capacity(ConnectionRole::kCallers));
  const auto refuse = [&] {
    REQUIRE_FALSE(table.MakeRoom(ConnectionRole::kCallers));
  };
  refuse();
  CHECK(table.Accepting(ConnectionRole::kCallers));
  for (int i = 0; i < 6; ++i) {
    clock.Advance(100ms);
    refuse();
  }
  CHECK_FALSE(table.Accepting(ConnectionRole::kCallers));
  CHECK(table.Accepting(ConnectionRole::kNodes));
  SECTION("one has ended") {
    callers.open.pop_back();
    CHECK(table.Accepting(ConnectionRole::kCallers));
  }
  SECTION("nobody tries any more") {
    clock.Advance(1s);
    CHECK(table.Accepting(ConnectionRole::kCallers));
    refuse();
    CHECK_FALSE(table.Accepting(ConnectionRole::kCallers));
  }
}

TEST_CASE("connection table: failures are counted by error") {
  const ManualClock clock;
  ConnectionTable table{clock, 128};
  table.RecordFailure(ConnectionRole::kCallers, EMFILE);
  table.RecordFailure(ConnectionRole::kCallers, EMFILE);
  table.RecordFailure(ConnectionRole::kCallers, ECONNABORTED);
  const auto &failures = table.Counts(ConnectionRole::kCallers).failures;
  CHECK(failures.at(EMFILE) == 2);
  CHECK(failures.at(ECONNABORTED) == 1);
}
