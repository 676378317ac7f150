#include "pollenring/admission/shed_levels.h"

#include <algorithm>

namespace pollenring {
namespace {

/*! @brief Fraction of earlier windows' totals kept per window. */
constexpr double kTotalRetention = 0.7;
/*! @brief As kTotalRetention, for the small counts of a single workspace. */
constexpr double kWorkspaceRetention = 0.96;
/*! @brief Fraction of requests that may be shed before levels rise. */
constexpr double kToleratedShedFraction = 0.01;
/*! @brief First decrease after shedding ends; doubles with each window. */
constexpr double kMinRelease = 0.01;
constexpr double kMaxRelease = 0.5;
/*! @brief Fraction of the wanted change that one window applies. */
constexpr double kAdjustmentFraction = 0.4;
/*! @brief The most important requests are never refused early. */
constexpr double kMaxLevel = static_cast<double>(kImportanceLevels - 1);
/*! @brief Decayed request count below which a workspace is dropped. */
constexpr double kNegligibleLoad = 0.01;

}  // namespace

ShedLevels::ShedLevels(Duration window, const Clock &clock)
    : window{window},
      clock{clock},
      window_start{clock.Now()},
      release_step{kMinRelease} {}

double ShedLevels::AdmissionLevelOf(const std::string &workspace) const {
  const auto found = this->workspaces.find(workspace);
  return found == this->workspaces.end() ? 0 : found->second.level;
}

void ShedLevels::Offered(const AdmissionRequest &request) {
  Workspace &workspace = this->workspaces[request.workspace];
  workspace.offered[static_cast<std::size_t>(request.importance)] += 1;
  workspace.weight = std::max(request.weight, 1e-3);
  this->total += 1;
}

void ShedLevels::Shed() {
  this->shed += 1;
  this->shed_in_window += 1;
}

void ShedLevels::Tick(const QueueState & /*queue*/) {
  const Time now = this->clock.Now();
  if (now - this->window_start < this->window) return;
  this->window_start = now;
  if (this->shed_in_window > 0 &&
      this->shed > this->total * kToleratedShedFraction) {
    this->Raise(1 - this->shed / this->total);
    this->release_step = kMinRelease;
  } else if (this->shed_in_window == 0) {
    this->Release();
    this->release_step = std::min(kMaxRelease, this->release_step * 2);
  }
  this->Decay();
}

void ShedLevels::Raise(double kept_part) {
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
    Allot(claims, capacity);
    for (const auto &claim : claims) Adjust(claim, importance);
    capacity = 0;
  }
}

void ShedLevels::Adjust(const Claim &claim, int importance) {
  // Offered sub-priorities are spread evenly above the active level.
  const double base = static_cast<double>(importance);
  const double cut = std::clamp(claim.workspace->level - base, 0.0, 1.0);
  const double kept = std::min(1.0, (1 - cut) * claim.allotted / claim.offered);
  const double wanted = std::min(kMaxLevel, base + 1 - kept);
  double &level = claim.workspace->level;
  level += kAdjustmentFraction * (wanted - level);
}

void ShedLevels::Allot(std::vector<Claim> &claims, double capacity) {
  std::sort(claims.begin(), claims.end(),
            [](const Claim &left, const Claim &right) {
              return left.offered / left.workspace->weight <
                     right.offered / right.workspace->weight;
            });
  double weights = 0;
  for (const auto &claim : claims) weights += claim.workspace->weight;
  for (auto &claim : claims) {
    claim.allotted = capacity * claim.workspace->weight / weights;
    capacity -= std::min(claim.offered, claim.allotted);
    weights -= claim.workspace->weight;
  }
}

void ShedLevels::Release() {
  for (auto &[name, workspace] : this->workspaces) {
    workspace.level = std::max(0.0, workspace.level - this->release_step);
  }
}

void ShedLevels::Decay() {
  this->total *= kTotalRetention;
  this->shed *= kTotalRetention;
  this->shed_in_window = 0;
  for (auto it = this->workspaces.begin(); it != this->workspaces.end();) {
    double sum = 0;
    for (auto &count : it->second.offered) {
      count *= kWorkspaceRetention;
      sum += count;
    }
    const bool idle = sum < kNegligibleLoad && it->second.level <= 0;
    it = idle ? this->workspaces.erase(it) : std::next(it);
  }
}

}  // namespace pollenring
