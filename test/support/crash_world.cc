#include "support/crash_world.h"

#include <algorithm>

namespace support {
namespace {

constexpr int kFront = 1;
constexpr int kFirstTarget = 2;
constexpr auto kStep = 5ms;
constexpr auto kBeatPeriod = 500ms;

}  // namespace

CrashWorld::CrashWorld(int net, int count, const CrashingTargetOptions &options)
    : world{net}, announced_crashes(static_cast<std::size_t>(count)) {
  const auto unused = [](const HttpRequest &request) {
    return Signed(request, 200);
  };
  this->world.Store().PutConfig(kConfig);
  this->world.Start("front", unused);
  for (int i = 0; i < count; ++i) {
    const int index = this->world.Start("deep", unused);
    this->world.StopTarget(index);
    this->targets.push_back(std::make_unique<CrashingTarget>(
        this->world.GetLoop(), this->world.At(index, 8000), options));
  }
  for (int i = kFront; i < kFirstTarget + count; ++i) {
    REQUIRE(this->world.Await([&] { return this->world.Ready(i) == 200; }, 8s));
    REQUIRE(this->world.Beat(i) == 200);
  }
  this->Run(500ms);
}

void CrashWorld::Announce(bool all) {
  for (std::size_t i = 0; i < this->targets.size(); ++i) {
    const CrashingTarget &target = *this->targets[i];
    if (!target.Listening()) continue;
    const int index = static_cast<int>(i) + kFirstTarget;
    const std::size_t crashes = target.crashes.size();
    const bool restarted =
        std::exchange(this->announced_crashes[i], crashes) != crashes;
    if (restarted) this->world.RenewInstance(index);
    if (restarted || all) this->world.Beat(index);
  }
}

void CrashWorld::Run(pollenring::Duration length) {
  const pollenring::Time until = this->clock.Now() + length;
  while (this->clock.Now() < until) {
    this->world.Run(kStep);
    const bool due = this->clock.Now() - this->announced_at > kBeatPeriod;
    if (due) this->announced_at = this->clock.Now();
    this->Announce(due);
  }
}

void CrashWorld::Send(const std::string &path) {
  const int nodes = static_cast<int>(this->targets.size()) + 1;
  const int index = kFront + this->sent++ % nodes;
  this->world.BeginCall(
      index, path, Headers("r" + std::to_string(this->sent)),
      [this, path](const HttpResponse &response) {
        ++this->results[path][response.status];
        if (response.body.find("quarantined") != std::string::npos)
          ++this->quarantined[path];
      });
}

int CrashWorld::Crashes() const {
  std::size_t crashes = 0;
  for (const auto &target : this->targets) crashes += target->crashes.size();
  return static_cast<int>(crashes);
}

int CrashWorld::StartedAfterThird(pollenring::Duration delay) const {
  std::vector<pollenring::Time> crashes;
  for (const auto &target : this->targets) {
    crashes.insert(crashes.end(), target->crashes.begin(),
                   target->crashes.end());
  }
  if (crashes.size() < 3) return 0;
  std::sort(crashes.begin(), crashes.end());
  const pollenring::Time from = crashes[2] + delay;
  int started = 0;
  for (const auto &target : this->targets) {
    started += static_cast<int>(std::count_if(
        target->crashing_started.begin(), target->crashing_started.end(),
        [from](pollenring::Time at) { return at > from; }));
  }
  return started;
}

}  // namespace support
