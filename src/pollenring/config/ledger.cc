#include "pollenring/config/ledger.h"

#include "pollenring/core/invariant.h"

namespace pollenring {

ConfigCatchUp ConfigLedger::Since(std::uint64_t from) const {
  ConfigCatchUp catch_up;
  if (from >= this->version) return catch_up;
  const bool covered =
      !this->recent.empty() && this->recent.front().version <= from + 1;
  if (!covered) {
    catch_up.snapshot.push_back(this->Snapshot());
    return catch_up;
  }
  for (const auto &change : this->recent) {
    if (change.version <= from) continue;
    catch_up.changes.push_back(change);
  }
  return catch_up;
}

bool ConfigLedger::Apply(const ConfigChange &change) {
  if (change.version != this->version + 1) return false;
  for (const auto &document : change.documents) {
    this->SetDocument(document.name, document.after);
  }
  this->recent.push_back(change);
  if (this->recent.size() > kMaxRecentChanges) this->recent.pop_front();
  this->AdvanceTo(change.version);
  return true;
}

bool ConfigLedger::Apply(const ConfigSnapshot &snapshot) {
  if (snapshot.version <= this->version) return false;
  const Documents old = this->documents;
  for (const auto &[name, text] : old) {
    if (snapshot.documents.count(name) == 0) this->SetDocument(name, {});
  }
  for (const auto &[name, text] : snapshot.documents)
    this->SetDocument(name, text);
  this->recent.clear();
  this->AdvanceTo(snapshot.version);
  return true;
}

void ConfigLedger::Apply(const ConfigCatchUp &catch_up) {
  for (const auto &snapshot : catch_up.snapshot) this->Apply(snapshot);
  for (const auto &change : catch_up.changes) this->Apply(change);
}

void ConfigLedger::SetDocument(const std::string &name,
                               const std::string &text) {
  if (text.empty()) {
    this->documents.erase(name);
  } else {
    this->documents[name] = text;
  }
  this->policy.Apply(name, text);
}

void ConfigLedger::AdvanceTo(std::uint64_t next) {
  Require(next > this->version, "a configuration version never reverts");
  this->version = next;
  this->installed(next);
}

}  // namespace pollenring
