#include "support/fleet_journal.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace {

using namespace std::chrono_literals;
using pollenring::CallError;
using support::DisturbanceCause;
using support::Expected;
using support::FleetCall;
using support::FleetJournal;
using support::FleetRule;
using support::FleetRun;

/*! @brief A journal with helpers that record calls and executions. */
struct TestJournal : FleetJournal {
  TestJournal() : FleetJournal{{"tiny", 2, 2}, {"blind"}} {}

  /*! @brief Records a call sent at 100 s that took 20 ms. */
  FleetCall &Call(const std::string &id, int status, bool unsafe = false) {
    FleetCall call;
    call.entry = 1;
    call.build = "new";
    call.caller_service = "deep";
    call.workspace = "club";
    call.unsafe = unsafe;
    call.sent = 100s;
    call.ended = 100s + 20ms;
    call.status = status;
    call.body = status == 200 ? id : "";
    this->RecordCall(id, call);
    return this->CallOf(id);
  }

  void Run(const std::string &id, int node = 2,
           const std::string &build = "new", pollenring::Time at = 100s) {
    this->RecordRun({id, node, build, at, "club", "deep", 1390});
  }

  [[nodiscard]] bool Finds(FleetRule rule) const {
    const auto found = this->FindViolations();
    return std::any_of(found.begin(), found.end(),
                       [rule](const auto &b) { return b.rule == rule; });
  }
};

}  // namespace

TEST_CASE("fleet journal: a call served once violates no rule") {
  TestJournal journal;
  journal.Call("a", 200);
  journal.Run("a");
  journal.Call("b", 200, true);
  journal.Run("b");
  CHECK(journal.FindViolations().empty());
  CHECK(
      journal.Crossings() ==
      std::map<std::pair<std::string, std::string>, int>{{{"new", "new"}, 2}});
}

TEST_CASE("fleet journal: duplicate runs and wrong responses are violations") {
  TestJournal journal;
  journal.Call("a", 200, true);
  journal.Run("a");
  CHECK_FALSE(journal.Finds(FleetRule::kTwice));
  journal.Run("a", 3);
  CHECK(journal.Finds(FleetRule::kTwice));
  // It runs 4 s after it was rejected.
  journal.Call("b", 503, true);
  CHECK_FALSE(journal.Finds(FleetRule::kRefused));
  journal.Run("b", 2, "new", 104s);
  CHECK(journal.Finds(FleetRule::kRefused));
  CHECK_FALSE(journal.Finds(FleetRule::kMixed));
  journal.Call("c", 200).body = "a";
  CHECK(journal.Finds(FleetRule::kMixed));
  CHECK_FALSE(journal.Finds(FleetRule::kUnasked));
  journal.Call("d", 200).workspace = "other";
  journal.Run("d");
  CHECK(journal.Finds(FleetRule::kUnasked));
}

TEST_CASE("fleet journal: a call without a response is lost") {
  const auto lost = [](bool ran, pollenring::Duration took, auto disturb) {
    TestJournal journal;
    FleetCall &call = journal.Call("a", 0);
    call.error = CallError::kInvalidResponse;
    call.ended = call.sent + took;
    if (ran) journal.Run("a");
    disturb(journal);
    return journal.Finds(FleetRule::kLost);
  };
  const auto undisturbed = [](TestJournal &) {};
  CHECK(lost(true, 20ms, undisturbed));
  CHECK(lost(false, 300ms, undisturbed));
  // It was sent while the connection was being closed.
  CHECK_FALSE(lost(false, 20ms, undisturbed));
  CHECK(lost(true, 20ms, [](TestJournal &s) {
    s.BeginDisturbance(1, DisturbanceCause::kStop, 99s);
  }));
  CHECK_FALSE(lost(true, 20ms, [](TestJournal &s) {
    s.BeginDisturbance(1, DisturbanceCause::kKill, 99s);
  }));
  CHECK(lost(true, 20ms, [](TestJournal &s) {
    s.BeginDisturbance(2, DisturbanceCause::kKill, 99s);
  }));
}

TEST_CASE("fleet journal: unserved calls count only in an undisturbed fleet") {
  const auto counts = [](auto disturb) {
    TestJournal journal;
    journal.Call("a", 503);
    disturb(journal);
    return journal.Finds(FleetRule::kCall);
  };
  CHECK(counts([](TestJournal &) {}));
  CHECK_FALSE(counts([](TestJournal &s) {
    s.BeginDisturbance(3, DisturbanceCause::kStart, 98s);
  }));
  CHECK_FALSE(counts([](TestJournal &s) { s.RecordChange(98s); }));
  CHECK_FALSE(
      counts([](TestJournal &s) { s.RecordWithdrawal({4}, true, 90s); }));
  CHECK(counts([](TestJournal &s) {
    s.BeginDisturbance(3, DisturbanceCause::kStart, 90s);
    s.EndDisturbances(3, 96s);
  }));
}

TEST_CASE(
    "fleet journal: withdrawn targets get no calls from builds that support "
    "withdrawal") {
  const auto found = [](const char *entry, const char *beside,
                        pollenring::Time at) {
    TestJournal journal;
    journal.Call("a", 200).build = entry;
    journal.RecordWithdrawal({2}, true, 90s);
    journal.Run("a", 2, beside, at);
    return journal.Finds(FleetRule::kEvac);
  };
  CHECK(found("new", "blind", 96s));
  CHECK(found("blind", "new", 96s));
  CHECK_FALSE(found("blind", "blind", 96s));
  CHECK_FALSE(found("new", "new", 94s));
}

TEST_CASE("fleet journal: stale routes and exceeded rates are violations") {
  TestJournal journal;
  journal.Call("a", 404).expected = Expected::kRouteAbsent;
  journal.Call("b", 200).expected = Expected::kRoutePresent;
  CHECK_FALSE(journal.Finds(FleetRule::kConfig));
  journal.Call("c", 404).expected = Expected::kRoutePresent;
  CHECK(journal.Finds(FleetRule::kConfig));
  // Limit: (2/s for 5 s, plus a burst of 2), plus 10 %, plus 20: 33.2.
  TestJournal rate;
  for (int i = 0; i < 34; ++i) {
    const std::string id = "t" + std::to_string(i);
    CHECK_FALSE(rate.Finds(FleetRule::kQuota));
    rate.Call(id, 200).workspace = "tiny";
    rate.RecordRun({id, 2, "new", 100s + i * 10ms, "tiny", "deep", 1390});
  }
  CHECK(rate.Finds(FleetRule::kQuota));
}
