#include "pollenring/admission/shed_levels.h"

#include <algorithm>

namespace pollenring {
namespace {

/*! @brief Part of older windows' totals that is kept. */
constexpr double kMemory = 0.7;
/*! @brief The same for one workspace's counts, which are small. */
constexpr double kLongMemory = 0.96;
/*! @brief Part of requests that may be shed before levels rise. */
constexpr double kToleratedShed = 0.01;
/*! @brief First release after shedding ends; it doubles with each window. */
constexpr double kFirstRelease = 0.01;
constexpr double kLargestRelease = 0.5;
/*! @brief Part of the way that a level moves in one window. */
constexpr double kSteering = 0.4;
/*! @brief The most important requests are never refused early. */
constexpr double kHighestLevel = static_cast<double>(kImportanceLevels - 1);
/*! @brief Counts below which a workspace is forgotten. */
constexpr double kNegligibleLoad = 0.01;

}  // namespace

ShedLevels::ShedLevels(Duration window, const Clock &clock)
    : window{window},
      clock{clock},
      window_start{clock.Now()},
      release{kFirstRelease} {}

double ShedLevels::AdmissionLevelOf(const std::string &workspace) const {
  const auto found = this->workspaces.find(workspace);
  return found == this->workspaces.end() ? 0 : found->second.level;
}

void ShedLevels::Offered(const AdmissionRequest &ticket) {
  Workspace &workspace = this->workspaces[ticket.workspace];
  workspace.offered[static_cast<std::size_t>(ticket.importance)] += 1;
  workspace.weight = std::max(ticket.weight, 1e-3);
  this->total += 1;
}

void ShedLevels::Shed() {
  this->shed += 1;
  this->shed_now += 1;
}

void ShedLevels::Tick(const QueueState & /*queue*/) {
  const Time now = this->clock.Now();
  if (now - this->window_start < this->window) return;
  this->window_start = now;
  if (this->shed_now > 0 && this->shed > this->total * kToleratedShed) {
    this->Cut(1 - this->shed / this->total);
    this->release = kFirstRelease;
  } else if (this->shed_now == 0) {
    this->Release();
    this->release = std::min(kLargestRelease, this->release * 2);
  }
  this->Decay();
}

void ShedLevels::Cut(double kept_part) {
  double capacity = 0;
  for (const auto &[name, workspace] : this->workspaces) {
    for (const double count : workspace.offered) capacity += count * kept_part;
  }
  for (int importance = kImportanceLevels - 1; importance >= 0; --importance) {
    std::vector<Claim> claims;
    double offered = 0;
    for (auto &[name, workspace] : this->workspaces) {
      const double own =
          workspace.offered[static_cast<std::size_t>(importance)];
      offered += own;
      if (own > 0) claims.push_back({&workspace, own, 0});
    }
    if (offered <= capacity) {
      capacity -= offered;
      continue;
    }
    Divide(claims, capacity);
    for (const auto &claim : claims) Steer(claim, importance);
    capacity = 0;
  }
}

void ShedLevels::Steer(const Claim &claim, int importance) {
  // Lots are spread evenly above the level that is in force already.
  const double base = static_cast<double>(importance);
  const double cut = std::clamp(claim.workspace->level - base, 0.0, 1.0);
  const double kept = std::min(1.0, (1 - cut) * claim.due / claim.offered);
  const double wanted = std::min(kHighestLevel, base + 1 - kept);
  double &level = claim.workspace->level;
  level += kSteering * (wanted - level);
}

void ShedLevels::Divide(std::vector<Claim> &claims, double capacity) {
  std::sort(claims.begin(), claims.end(),
            [](const Claim &left, const Claim &right) {
              return left.offered / left.workspace->weight <
                     right.offered / right.workspace->weight;
            });
  double weights = 0;
  for (const auto &claim : claims) weights += claim.workspace->weight;
  for (auto &claim : claims) {
    claim.due = capacity * claim.workspace->weight / weights;
    capacity -= std::min(claim.offered, claim.due);
    weights -= claim.workspace->weight;
  }
}

void ShedLevels::Release() {
  for (auto &[name, workspace] : this->workspaces) {
    workspace.level = std::max(0.0, workspace.level - this->release);
  }
}

void ShedLevels::Decay() {
  this->total *= kMemory;
  this->shed *= kMemory;
  this->shed_now = 0;
  for (auto it = this->workspaces.begin(); it != this->workspaces.end();) {
    double sum = 0;
    for (auto &count : it->second.offered) {
      count *= kLongMemory;
      sum += count;
    }
    const bool idle = sum < kNegligibleLoad && it->second.level <= 0;
    it = idle ? this->workspaces.erase(it) : std::next(it);
  }
}

}  // namespace pollenring
