#include "pollenring/mesh/target_departures.h"

#include <utility>

#include "pollenring/log/log.h"

namespace pollenring {
namespace {

/*! @brief Minimum time between two heartbeats that show that a target lives.
 * Targets send one each 1 to 1.5 s; those that a partition held up arrive
 * together. */
constexpr Duration kMinHeartbeatGap = std::chrono::milliseconds{500};
/*! @brief Time for both copies of a departure; a call takes milliseconds. */
constexpr Duration kBothCopiesTime = std::chrono::milliseconds{300};
/*! @brief Targets wait 1 s for an acknowledgement. */
constexpr Duration kMaxAcknowledgeTime = std::chrono::milliseconds{800};

}  // namespace

TargetDepartures::TargetDepartures(NodeId self, Table &table,
                                   DepartureReplicas &replicas,
                                   const Clock &clock, Random &random)
    : replicas{replicas},
      clock{clock},
      filter{clock},
      store{self, table, clock, random} {}

void TargetDepartures::Start(Event usable, Departed departed) {
  this->on_usable = std::move(usable);
  this->on_departed = std::move(departed);
  this->store.Load([this](const Departures &stored) {
    this->Learn({stored, true});
    this->AnswerDecided();
  });
}

void TargetDepartures::Tick() {
  this->store.Tick();
  this->AnswerDecided();
}

void TargetDepartures::Learn(DepartureRecord record) {
  bool changed = record.complete && !this->complete;
  if (changed) {
    this->complete = true;
    LogEvent(LogLevel::kInfo, "departures known",
             {{"count", record.latest.Entries().size()}});
  }
  for (const auto &entry : record.latest.Entries()) {
    const bool known =
        this->filter.Departed().Covers(entry.instance, entry.started_at_ms);
    if (known) continue;
    changed = true;
    LogEvent(LogLevel::kInfo, "departure learned",
             {{"instance", entry.instance}, {"born", entry.started_at_ms}});
    const bool accepted =
        this->filter.RecordDeregistration(entry.instance, entry.started_at_ms);
    if (accepted) this->on_departed(entry.instance);
  }
  if (!changed) return;
  this->store.Record(this->filter.Departed());
  this->Announce();
  if (this->complete) this->SetUsable();
}

void TargetDepartures::Announce() {
  this->replicas.Announce({this->filter.Departed(), this->complete});
}

void TargetDepartures::Acknowledge(const std::string &instance,
                                   Acknowledged done) {
  const Departure *departure = this->filter.Departed().Find(instance);
  // One that later departures have displaced needs no copy.
  const bool is_durable =
      departure == nullptr ||
      this->acknowledged.Covers(instance, departure->started_at_ms);
  if (is_durable) {
    done(true);
    return;
  }
  const auto waiting = std::make_shared<Pending>();
  waiting->departure = *departure;
  waiting->since = this->clock.Now();
  waiting->done = std::move(done);
  this->pending.push_back(waiting);
  this->replicas.Replicate([this, waiting](bool held) {
    waiting->replica = held ? Replica::kHeld : Replica::kFailed;
    this->AnswerDecided();
  });
}

std::optional<bool> TargetDepartures::Decide(const Pending &pending) const {
  const Duration waited = this->clock.Now() - pending.since;
  const bool stored = this->store.Stores(pending.departure);
  const bool held = pending.replica == Replica::kHeld;
  const bool settled = stored && pending.replica != Replica::kPending;
  if (settled) return true;
  if (waited >= kBothCopiesTime && (stored || held)) return true;
  if (waited >= kMaxAcknowledgeTime) return false;
  return std::nullopt;
}

void TargetDepartures::AnswerDecided() {
  std::vector<std::shared_ptr<Pending>> open;
  for (const auto &waiting : std::exchange(this->pending, {})) {
    const auto durable = this->Decide(*waiting);
    if (!durable) {
      open.push_back(waiting);
      continue;
    }
    if (*durable) {
      this->acknowledged.Add(waiting->departure);
    } else {
      LogEvent(LogLevel::kWarning, "departure not acknowledged",
               {{"instance", waiting->departure.instance}});
    }
    waiting->done(*durable);
  }
  this->pending.insert(this->pending.end(), open.begin(), open.end());
}

HeartbeatVerdict TargetDepartures::Receive(const Heartbeat &heartbeat) {
  const HeartbeatVerdict verdict = this->filter.Check(heartbeat);
  // One that is ignored may still be of an instance that was not known to
  // leave.
  if (Leaves(heartbeat)) this->Record(heartbeat.announcement.instance);
  const Announcement &announcement = heartbeat.announcement;
  if (verdict != HeartbeatVerdict::kAccepted) {
    LogEvent(LogLevel::kInfo, "stale heartbeat ignored",
             {{"instance", announcement.instance},
              {"sequence", heartbeat.sequence},
              {"born", heartbeat.started_at_ms}});
    return verdict;
  }
  if (!Leaves(heartbeat) && !this->usable)
    this->RecordSignOfLife(announcement.instance);
  return verdict;
}

void TargetDepartures::RecordSignOfLife(const std::string &instance) {
  const Time now = this->clock.Now();
  const bool is_first =
      !this->first_heartbeat || this->first_heartbeat->instance != instance;
  if (is_first) {
    this->first_heartbeat = FirstHeartbeat{instance, now};
    return;
  }
  if (now - this->first_heartbeat->at < kMinHeartbeatGap) return;
  LogEvent(LogLevel::kWarning, "target used before departures are known",
           {{"instance", instance}});
  this->SetUsable();
}

void TargetDepartures::SetUsable() {
  if (std::exchange(this->usable, true)) return;
  this->first_heartbeat.reset();
  this->on_usable();
}

void TargetDepartures::RecordLeaving(const std::string &instance) {
  // Heartbeats that it sent before may arrive later.
  this->filter.RecordDeregistration(instance,
                                    this->filter.StartTimeOf(instance));
  this->Record(instance);
}

void TargetDepartures::Record(const std::string &instance) {
  if (!this->store.Record(this->filter.Departed())) return;
  LogEvent(LogLevel::kInfo, "target leaves", {{"instance", instance}});
  this->Announce();
}

}  // namespace pollenring
