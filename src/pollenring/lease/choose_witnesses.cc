#include "pollenring/lease/choose_witnesses.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace pollenring {

std::vector<ProcessRef> ChooseWitnesses(
    const WitnessCandidate &holder, std::vector<WitnessCandidate> candidates) {
  if (candidates.empty()) return {holder.ref};
  if (candidates.size() == 1) return {candidates.front().ref};
  const std::size_t odd = candidates.size() - candidates.size() % 2 + 1;
  const std::size_t size = std::min(kMostWitnesses, odd);
  std::vector<ProcessRef> chosen{holder.ref};
  std::map<std::string, std::size_t> taken{{holder.zone, 1}};
  while (chosen.size() < size) {
    const auto best = std::max_element(
        candidates.begin(), candidates.end(),
        [&](const WitnessCandidate &left, const WitnessCandidate &right) {
          const auto score = [&](const WitnessCandidate &candidate) {
            const auto found = taken.find(candidate.zone);
            const std::size_t used = found == taken.end() ? 0 : found->second;
            return std::make_tuple(-static_cast<std::int64_t>(used),
                                   candidate.region == holder.region,
                                   candidate.weight);
          };
          return score(left) < score(right);
        });
    chosen.push_back(best->ref);
    ++taken[best->zone];
    candidates.erase(best);
  }
  return chosen;
}

std::vector<ProcessRef> MirrorsOf(const SlotRow &row) {
  std::vector<ProcessRef> mirrors;
  for (const auto &ref : row.witnesses) {
    if (ref == row.holder || mirrors.size() == kMirrors) continue;
    mirrors.push_back(ref);
  }
  return mirrors;
}

}  // namespace pollenring
