#include "pollenring/node/parent_finder.h"

#include <catch2/catch.hpp>
#include <map>
#include <vector>

namespace {

using namespace std::chrono_literals;
using pollenring::ParentFinder;
using pollenring::SeededRandom;
using pollenring::Time;

}  // namespace

TEST_CASE("parent finder: an equal deadline identifies the parent") {
  SeededRandom random{1};
  ParentFinder finder{random, 0ms};
  for (std::uint64_t id = 1; id <= 50; ++id) {
    finder.Add(id, "kind", 1s + id * 20ms, 0ms);
  }
  for (std::uint64_t id = 1; id <= 50; ++id) {
    // Both deadlines are sent as integral milliseconds.
    CHECK(finder.Find(1s + id * 20ms - 1ms, "callee", 0ms) == id);
  }
  finder.Remove(7, 1ms);
  CHECK(finder.Find(1s + 7 * 20ms, "callee", 0ms) != std::uint64_t{7});
}

TEST_CASE("parent finder: a call does not outlive its parent") {
  SeededRandom random{1};
  ParentFinder finder{random, 0ms};
  finder.Add(1, "kind", 500ms, 0ms);
  finder.Add(2, "kind", 3s, 0ms);
  for (int i = 0; i < 20; ++i)
    CHECK(finder.Find(2s, "callee", 0ms) == std::uint64_t{2});
  CHECK_FALSE((ParentFinder{random, 0ms}.Find(2s, "callee", 0ms)));
}

TEST_CASE("parent finder: attributes calls to the kinds that make them") {
  // One kind makes five calls, the other none; deadlines are no help.
  SeededRandom random{3};
  ParentFinder finder{random, 0ms};
  std::map<std::uint64_t, bool> calls;
  std::uint64_t next = 0;
  int to_silent = 0;
  int all = 0;
  Time now = 1h;
  struct Run {
    std::uint64_t id;
    bool talks;
    Time ends;
    Time call;
  };
  std::vector<Run> runs;
  for (int step = 0; step < 40'000; ++step) {
    now += 1ms;
    if (random.Chance(0.2)) {
      const bool talks = random.Chance(0.5);
      const Time length = talks ? 15ms : 65ms;
      runs.push_back({++next, talks, now + length, now + 3ms});
      calls[next] = talks;
      finder.Add(next, talks ? "talks" : "silent", now + 10s, now);
    }
    for (auto &run : runs) {
      if (!run.talks || run.call > now || run.ends <= now) continue;
      run.call = now + 3ms;
      const auto found = finder.Find(now + 700ms, "callee", now);
      REQUIRE(found);
      if (step < 5'000) continue;
      ++all;
      if (!calls[*found]) ++to_silent;
    }
    for (auto it = runs.begin(); it != runs.end();) {
      if (it->ends > now) {
        ++it;
        continue;
      }
      finder.Remove(it->id, now);
      it = runs.erase(it);
    }
  }
  REQUIRE(all > 10'000);
  CHECK(to_silent < all / 10);
}
