#include "support/fleet_journal.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace {

using namespace std::chrono_literals;
using pollenring::CallError;
using support::Expected;
using support::FleetCall;
using support::FleetJournal;
using support::FleetRule;
using support::FleetRun;
using support::Trouble;

/*! @brief A journal with helpers that record calls and executions. */
struct Seen : FleetJournal {
  Seen() : FleetJournal{{"tiny", 2, 2}, {"blind"}} {}

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
    this->Begin(id, call);
    return this->CallOf(id);
  }

  void Run(const std::string &id, int node = 2,
           const std::string &build = "new", pollenring::Time at = 100s) {
    this->Ran({id, node, build, at, "club", "deep", 1390});
  }

  [[nodiscard]] bool Finds(FleetRule rule) const {
    const auto found = this->Judge();
    return std::any_of(found.begin(), found.end(),
                       [rule](const auto &b) { return b.rule == rule; });
  }
};

}  // namespace

TEST_CASE("fleet journal: a call that is served once breaks nothing") {
  Seen seen;
  seen.Call("a", 200);
  seen.Run("a");
  seen.Call("b", 200, true);
  seen.Run("b");
  CHECK(seen.Judge().empty());
  CHECK(seen.Crossings() == std::map<std::pair<std::string, std::string>, int>{
                                {{"new", "new"}, 2}});
}

TEST_CASE("fleet journal: each broken promise to a caller is found") {
  Seen seen;
  seen.Call("a", 200, true);
  seen.Run("a");
  CHECK_FALSE(seen.Finds(FleetRule::kTwice));
  seen.Run("a", 3);
  CHECK(seen.Finds(FleetRule::kTwice));
  // It runs 4 s after it was rejected.
  seen.Call("b", 503, true);
  CHECK_FALSE(seen.Finds(FleetRule::kRefused));
  seen.Run("b", 2, "new", 104s);
  CHECK(seen.Finds(FleetRule::kRefused));
  CHECK_FALSE(seen.Finds(FleetRule::kMixed));
  seen.Call("c", 200).body = "a";
  CHECK(seen.Finds(FleetRule::kMixed));
  CHECK_FALSE(seen.Finds(FleetRule::kUnasked));
  seen.Call("d", 200).workspace = "other";
  seen.Run("d");
  CHECK(seen.Finds(FleetRule::kUnasked));
}

TEST_CASE("fleet journal: a call without its answer is lost") {
  const auto lost = [](bool ran, pollenring::Duration took, auto disturb) {
    Seen seen;
    FleetCall &call = seen.Call("a", 0);
    call.error = CallError::kInvalidResponse;
    call.ended = call.sent + took;
    if (ran) seen.Run("a");
    disturb(seen);
    return seen.Finds(FleetRule::kLost);
  };
  const auto calm = [](Seen &) {};
  CHECK(lost(true, 20ms, calm));
  CHECK(lost(false, 300ms, calm));
  // It was sent while the connection was being closed.
  CHECK_FALSE(lost(false, 20ms, calm));
  CHECK(lost(true, 20ms, [](Seen &s) { s.Disturbed(1, Trouble::kStop, 99s); }));
  CHECK_FALSE(
      lost(true, 20ms, [](Seen &s) { s.Disturbed(1, Trouble::kKill, 99s); }));
  CHECK(lost(true, 20ms, [](Seen &s) { s.Disturbed(2, Trouble::kKill, 99s); }));
}

TEST_CASE("fleet journal: what is not served counts in a calm fleet") {
  const auto counts = [](auto disturb) {
    Seen seen;
    seen.Call("a", 503);
    disturb(seen);
    return seen.Finds(FleetRule::kCall);
  };
  CHECK(counts([](Seen &) {}));
  CHECK_FALSE(counts([](Seen &s) { s.Disturbed(3, Trouble::kStart, 98s); }));
  CHECK_FALSE(counts([](Seen &s) { s.Changed(98s); }));
  CHECK_FALSE(counts([](Seen &s) { s.Withdrawn({4}, true, 90s); }));
  CHECK(counts([](Seen &s) {
    s.Disturbed(3, Trouble::kStart, 90s);
    s.Settled(3, 96s);
  }));
}

TEST_CASE(
    "fleet journal: a withdrawn zone's targets get nothing from those "
    "that know") {
  const auto found = [](const char *entry, const char *beside,
                        pollenring::Time at) {
    Seen seen;
    seen.Call("a", 200).build = entry;
    seen.Withdrawn({2}, true, 90s);
    seen.Run("a", 2, beside, at);
    return seen.Finds(FleetRule::kEvac);
  };
  CHECK(found("new", "blind", 96s));
  CHECK(found("blind", "new", 96s));
  CHECK_FALSE(found("blind", "blind", 96s));
  CHECK_FALSE(found("new", "new", 94s));
}

TEST_CASE("fleet journal: routes and rates are held against their bounds") {
  Seen seen;
  seen.Call("a", 404).expected = Expected::kRouteGone;
  seen.Call("b", 200).expected = Expected::kRouteThere;
  CHECK_FALSE(seen.Finds(FleetRule::kConfig));
  seen.Call("c", 404).expected = Expected::kRouteThere;
  CHECK(seen.Finds(FleetRule::kConfig));
  // Limit: (2/s for 5 s, plus a burst of 2), plus 10 %, plus 20: 33.2.
  Seen rate;
  for (int i = 0; i < 34; ++i) {
    const std::string id = "t" + std::to_string(i);
    CHECK_FALSE(rate.Finds(FleetRule::kQuota));
    rate.Call(id, 200).workspace = "tiny";
    rate.Ran({id, 2, "new", 100s + i * 10ms, "tiny", "deep", 1390});
  }
  CHECK(rate.Finds(FleetRule::kQuota));
}
