#include "pollenring/mesh/mesh_node.h"

#include <algorithm>
#include <utility>

#include "pollenring/log/log.h"
#include "pollenring/mesh/drain_times.h"
#include "pollenring/mesh/mesh_options.h"
#include "pollenring/node/headers.h"
#include "pollenring/node/limits.h"
#include "pollenring/node/memory_limit.h"
#include "pollenring/retry/backoff.h"

namespace pollenring {
namespace {

constexpr Duration kExecutorTick = std::chrono::milliseconds{20};
constexpr Duration kDepartureTick = std::chrono::milliseconds{50};
constexpr Duration kRingTick = std::chrono::milliseconds{100};
constexpr Duration kLogFlushInterval = std::chrono::milliseconds{100};
constexpr Duration kDrainCheckInterval = std::chrono::milliseconds{50};
/*! @brief Time for peers to learn that a node drains; gossip takes one second
 * in a few hundred nodes. */
constexpr Duration kPeerServeTime = std::chrono::milliseconds{1200};
/*! @brief Interval between log lines with all counters. */
constexpr Duration kMetricsLogInterval = std::chrono::seconds{10};
/*! @brief Interval between log lines on what the node waits for. */
constexpr Duration kReadinessLogInterval = std::chrono::seconds{1};
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;

/*! @brief Time over which all nodes write to a store that lost their rows. */
constexpr Duration kStoreAgainSpread = std::chrono::seconds{2};

}  // namespace

Member MeshNode::MakeSelf(const Settings &settings, const MeshParts &parts) {
  Member self;
  self.id = settings.nodes.Packed();
  self.process = parts.random.Bits();
  self.incarnation =
      static_cast<std::uint64_t>(parts.loop.GetClock().WallNow().count());
  self.version = 1;
  self.zone = settings.zone;
  self.region = settings.region;
  self.wire = static_cast<std::uint8_t>(kNewestWire);
  return self;
}

MeshNode::MeshNode(const Settings &given, const MeshParts &parts)
    : settings{given},
      parts{parts},
      loop{parts.loop},
      metrics{parts.loop.GetClock()},
      wire{parts.loop.GetClock(), this->metrics},
      link{parts.loop, given.node_secret, kMaxFrameBytes},
      bus{parts.loop, given.nodes, given.node_secret, this->wire},
      quarantine{QuarantineOptions{}, parts.loop.GetClock(), parts.random},
      members{MakeSelf(given, parts),
              given.seeds,
              parts.loop,
              this->bus,
              this->link,
              parts.table,
              this->quarantine,
              parts.random,
              given.first_start},
      policy{parts.loop,   this->members,  this->link,
             parts.source, parts.policies, parts.random},
      ring{this->members.Get(), parts.loop.GetClock(), given.first_start},
      shares{parts.loop, this->bus, this->ring, this->policy,
             this->members.Get().Self().process},
      router{given.zone, given.region, MakeRouterOptions(),
             parts.loop.GetClock(), parts.random},
      levels{MakeLevelOptions(given.features), parts.loop.GetClock()},
      cold_policy{this->policy, given.cold_start_headroom},
      fingerprints{given.node_secret},
      executor{parts.loop,
               parts.client,
               parts.targets,
               MakeAdmissionOptions(given.features),
               this->cold_policy,
               this->fingerprints,
               this->quarantine,
               this->levels,
               parts.random,
               this->metrics,
               [this](std::vector<Target> targets) {
                 this->members.Get().Announce(std::move(targets));
               },
               [this](const std::string &instance) {
                 this->departures.RecordLeaving(instance);
               }},
      retry_budget{MakeRetryOptions(given.features), parts.loop.GetClock(),
                   parts.random},
      dispatcher{
          given.nodes.Packed(), parts.loop,         this->link,
          this->wire,           this->router,       this->executor,
          this->quarantine,     this->retry_budget, DispatchOptions{true},
          parts.random,         this->metrics},
      outbound{parts.loop, given.target_service,
               OutboundParts{this->policy, parts.callers, this->shares,
                             this->dispatcher, this->executor, this->levels,
                             this->fingerprints, parts.random, this->metrics,
                             parts.budget}},
      departures{given.nodes.Packed(), parts.table, this->members,
                 parts.loop.GetClock(), parts.random},
      readiness{parts.loop.GetClock()},
      link_server{parts.loop, given.nodes, given.node_secret, kMaxFrameBytes,
                  [this](const std::string &path, std::string body,
                         std::shared_ptr<LinkResponder> responder) {
                    this->HandleLink(path, std::move(body), responder);
                  }},
      caller_server{
          parts.loop, given.callers, MakeCallerLimits(parts.budget),
          [this](HttpRequest request, std::shared_ptr<Responder> responder) {
            this->outbound.Handle(std::move(request), std::move(responder));
          }},
      heartbeat_server{
          parts.loop, given.targets,
          HttpServerLimits::ForRole(ConnectionRole::kTargets),
          [this](HttpRequest request, std::shared_ptr<Responder> responder) {
            this->HandleHeartbeat(request, responder);
          }},
      ready_server{parts.loop, given.ready,
                   HttpServerLimits::ForRole(ConnectionRole::kReadiness),
                   [this](HttpRequest /*request*/,
                          std::shared_ptr<Responder> responder) {
                     this->HandleReady(responder);
                   }},
      operator_server{
          parts.loop, given.operators,
          HttpServerLimits::ForRole(ConnectionRole::kOperators),
          [this](HttpRequest request, std::shared_ptr<Responder> responder) {
            this->HandleOperator(request, responder);
          }} {
  this->Start();
}

void MeshNode::Start() {
  this->ready_server.Open();
  this->heartbeat_server.Open();
  this->operator_server.Open();
  this->caller_server.Open();
  this->members.OnMember([this](const Member &member) {
    this->router.Update(member);
    if (member.id == this->members.Get().Self().id)
      this->departures.Learn(member.departures);
  });
  this->shares.Start();
  this->executor.SetAvailability(TargetAvailability::kUnknown);
  this->departures.Start(
      [this] { this->ApplyPolicy(); },
      [this](const std::string &instance) { this->executor.Drain(instance); });
  this->policy.Start([this] { this->ApplyPolicy(); },
                     [this] { this->StoreDeparturesAgain(); });
  this->members.Start();
  this->ring.Update(this->shares);
  // After an invariant violation, continued service may repeat it. Accepted
  // requests still get responses.
  this->loop.OnError([this](const ContainedError &error) {
    if (error.invariant_violated) this->Leave();
  });
  this->loop.Every(kRingTick, [this] { this->ring.Update(this->shares); });
  this->loop.Every(kExecutorTick, [this] { this->executor.Tick(); });
  this->loop.Every(kDepartureTick, [this] { this->departures.Tick(); });
  this->loop.Every(kLogFlushInterval, [] { FlushLog(); });
  this->loop.Every(kMetricsLogInterval, [this] {
    LogEvent(LogLevel::kInfo, "metrics snapshot", this->metrics.Counters());
  });
  this->loop.Every(kReadinessLogInterval, [this] { this->LogWaiting(); });
  this->RegisterMetrics();
}

void MeshNode::StoreDeparturesAgain() {
  const double fraction = this->parts.random.Fraction();
  const Duration wait{static_cast<std::int64_t>(
      fraction * static_cast<double>(kStoreAgainSpread.count()))};
  this->loop.After(wait, [this] { this->departures.StoreAgain(); });
}

void MeshNode::ApplyPolicy() {
  const bool configured = this->policy.Active().Version() > 0;
  if (configured && this->parts.store_timeout != nullptr)
    this->parts.store_timeout->EndStart();
  if (!this->departures.Usable()) return;
  const WithdrawnZones &zones = this->policy.Zones();
  // Cold-start limits are unknown before the configuration too.
  if (!zones.HasRevision() || !configured) return;
  this->executor.UpdateColdStartLimits();
  const bool withdrawn = zones.Contains(this->settings.zone);
  this->executor.SetAvailability(withdrawn ? TargetAvailability::kWithdrawn
                                           : TargetAvailability::kAvailable);
  if (!this->router.SetWithdrawnZones(zones.Newest().zones)) return;
  for (const auto &member : this->members.Get().Snapshot()) {
    this->router.Update(member);
  }
}

void MeshNode::HandleLink(const std::string &path, std::string body,
                          const std::shared_ptr<LinkResponder> &responder) {
  if (path == "call") {
    this->HandleCall(std::move(body), responder);
    return;
  }
  std::string reply;
  if (auto given_reply =
          this->members.HandleRequest(path, responder->Peer(), body)) {
    reply = std::move(*given_reply);
  } else if (path == "document") {
    reply = this->policy.Document();
  } else {
    this->wire.unreadable.Note({responder->Peer(), "unknown", body.size(), {}});
  }
  responder->Send(std::move(reply));
}

void MeshNode::HandleCall(std::string body,
                          const std::shared_ptr<LinkResponder> &responder) {
  auto [framed, version] =
      ReceiveCall(std::move(body), responder->Peer(), this->wire.unreadable);
  const bool drained = this->DrainElapsed() > kPeerServeTime;
  // What a process reads after it stood still may have been given up long ago.
  if (!framed || drained || this->loop.WokeFromStall()) {
    const Reason reason = drained ? Reason::kLeaving : Reason::kLinkLost;
    const Duration jittered_retry_after =
        WithJitter(kDefaultRetryAfter, this->parts.random);
    CallReply reply = Refusal(Outcome::kNotRun, reason, jittered_retry_after);
    if (framed) reply.retries_unspent = framed->head.retries;
    responder->Send(Frame(reply, {}, version));
    return;
  }
  const std::uint64_t id = this->executor.Serve(
      std::move(framed->head), std::move(framed->body),
      [responder, version = version](const CallReply &reply,
                                     const std::string &answer) {
        responder->Send(Frame(reply, answer, version));
      });
  responder->OnCancel([this, id] { this->executor.CallerDisconnected(id); });
  responder->OnWithdraw([this, id] { this->executor.Withdraw(id); });
}

void MeshNode::HandleHeartbeat(const HttpRequest &request,
                               const std::shared_ptr<Responder> &responder) {
  auto heartbeat = this->parts.heartbeats.Decode(request);
  if (!heartbeat) {
    LogEvent(LogLevel::kWarning, "heartbeat unreadable",
             {{"path", request.path}, {"bytes", request.body.size()}});
    responder->Send({kBadRequest, {}, {}});
    return;
  }
  const Announcement &announcement = heartbeat->announcement;
  if (!heartbeat->deregisters &&
      announcement.target.service != this->settings.target_service) {
    LogEvent(LogLevel::kWarning, "heartbeat of another service",
             {{"instance", announcement.instance},
              {"service", announcement.target.service}});
    responder->Send({kBadRequest, {}, {}});
    return;
  }
  const HeartbeatVerdict verdict = this->departures.Receive(*heartbeat);
  if (verdict == HeartbeatVerdict::kAccepted) {
    if (heartbeat->deregisters) {
      this->executor.Drain(announcement.instance);
    } else {
      this->executor.Announce(announcement);
    }
  }
  const auto respond = [responder](int status) {
    responder->Send({status, {{"content-type", "application/json"}}, "{}"});
  };
  if (!Leaves(*heartbeat)) {
    respond(kOk);
    return;
  }
  this->departures.Acknowledge(
      announcement.instance, [this, respond](bool durable) {
        if (!durable)
          this->metrics.Count("pollenring_departures_refused_total");
        respond(durable ? kOk : kUnavailable);
      });
}

Duration MeshNode::DrainElapsed() const {
  if (!this->draining) return Duration{0};
  return this->loop.GetClock().Now() - this->drain_started_at;
}

void MeshNode::Leave() {
  if (std::exchange(this->draining, true)) return;
  this->drain_started_at = this->loop.GetClock().Now();
  LogEvent(LogLevel::kInfo, "drain started",
           {{"in_progress", this->InProgress()}});
  this->members.Get().Leave();
  this->caller_server.Drain();
  this->CheckDrained();
}

void MeshNode::CheckDrained() {
  const Duration elapsed = this->DrainElapsed();
  const DrainTimes times = DrainTimesFor(this->settings.grace);
  const bool accepting = elapsed < times.accept_until;
  if (!accepting) {
    this->caller_server.Close();
    this->outbound.Close();
  }
  if (elapsed >= times.withdraw_from) {
    this->dispatcher.Withdraw();
    this->executor.WithdrawAll();
  }
  if (elapsed >= times.max_duration) this->outbound.RespondToAll();
  const bool timed_out = elapsed >= times.end;
  const std::size_t unwritten =
      this->caller_server.Unwritten() + this->link_server.Unwritten();
  const bool finished = this->InProgress() == 0 && unwritten == 0;
  if (timed_out || (!accepting && finished)) {
    LogEvent(LogLevel::kInfo, "drain completed",
             {{"unanswered", this->caller_server.InProgress()},
              {"unwritten", unwritten},
              {"dispatched", this->dispatcher.InProgress()},
              {"at_target", this->executor.InProgress()}});
    this->loop.After(kDrainCheckInterval, [this] { this->loop.Stop(); });
    return;
  }
  this->loop.After(kDrainCheckInterval, [this] { this->CheckDrained(); });
}

std::size_t MeshNode::InProgress() const {
  return this->caller_server.InProgress() + this->dispatcher.InProgress() +
         this->executor.InProgress();
}

}  // namespace pollenring
