#include "pollenring/node/node.h"

#include <algorithm>
#include <utility>

#include "pollenring/log/log.h"
#include "pollenring/node/describe_connections.h"
#include "pollenring/node/describe_members.h"
#include "pollenring/node/handover.h"
#include "pollenring/node/headers.h"
#include "pollenring/node/limits.h"
#include "pollenring/node/memory_limit.h"
#include "pollenring/retry/backoff.h"

namespace pollenring {
namespace {

constexpr Duration kReadyCheckPeriod = std::chrono::milliseconds{20};
/*! @brief Interval between log lines on what the node waits for. */
constexpr Duration kReadinessLogInterval = std::chrono::seconds{1};
constexpr Duration kExecutorTickPeriod = std::chrono::milliseconds{20};
/*! @brief Time for callers and nodes to learn that a node drains. */
constexpr Duration kDrainAcceptTime = std::chrono::milliseconds{2500};
constexpr Duration kDrainCheckPeriod = std::chrono::milliseconds{50};
/*! @brief Maximum wait for slots to be taken over by others. */
constexpr Duration kMaxSlotHandoverTime = std::chrono::seconds{6};
constexpr Duration kHandoverTimeout = std::chrono::seconds{1};

[[nodiscard]] DownstreamLevelOptions LevelOptions() {
  DownstreamLevelOptions options;
  options.per_workspace = true;
  // An ingress receives several replies of a service in that time.
  options.lifetime = std::chrono::milliseconds{300};
  return options;
}

}  // namespace

Member Node::MakeSelf(const Settings &settings, const Clock &clock,
                      Random &random) {
  Member self;
  self.id = settings.nodes.Packed();
  self.process = random.Bits();
  self.incarnation = static_cast<std::uint64_t>(clock.WallNow().count());
  self.version = 1;
  self.zone = settings.zone;
  self.region = settings.region;
  self.wire = static_cast<std::uint8_t>(kNewestWire);
  return self;
}

Node::Node(const Settings &given, Loop &loop, Random &random)
    : settings{given},
      loop{loop},
      random{random},
      metrics{loop.GetClock()},
      budget{BudgetFor(given.limits), loop.GetClock()},
      client{loop, ClientLimitsFor(this->budget)},
      wire{loop.GetClock(), this->metrics},
      link{loop, given.node_secret, kMaxFrameBytes},
      table{this->client, given.platform},
      objects{this->client, given.platform},
      bus{loop, given.nodes, given.node_secret, this->wire},
      quarantine{QuarantineOptions{}, loop.GetClock(), random},
      readiness{loop.GetClock()},
      members{MakeSelf(given, loop.GetClock(), random),
              given.seeds,
              loop,
              this->bus,
              this->link,
              this->table,
              this->quarantine,
              random},
      config{loop,        this->members, this->link,
             this->table, this->objects, random},
      slots{given.slots, loop, this->bus, this->members, this->table, random},
      shares{loop, this->bus, this->slots, this->config,
             this->members.Get().Self().process},
      once{loop, this->bus, this->link, this->slots, random},
      router{given.zone, given.region, RouterOptions{}, loop.GetClock(),
             random},
      fingerprints{given.node_secret},
      levels{LevelOptions(), loop.GetClock()},
      executor{loop,
               this->client,
               this->codec,
               AdmissionOptions{},
               this->cold_start_limits,
               this->fingerprints,
               this->quarantine,
               this->levels,
               random,
               this->metrics,
               [this](std::vector<Target> targets) {
                 this->members.Get().Announce(std::move(targets));
               }},
      dispatcher{given.nodes.Packed(), loop,
                 this->link,           this->wire,
                 this->router,         this->executor,
                 this->quarantine,     this->retry_budget,
                 DispatchOptions{},    random,
                 this->metrics},
      ingress{loop,
              {this->config.Ledger(), this->config, this->shares, this->once,
               this->dispatcher, this->levels, random, this->metrics,
               &this->budget}},
      target_port{loop,           given.target_secret, this->config.Ledger(),
                  this->executor, this->dispatcher,    this->levels,
                  random},
      operator_port{
          given.operator_secret,
          this->config,
          this->table,
          this->metrics,
          {[this] { return this->Status(); }, [this] { this->Leave(); }}},
      link_server{loop, given.nodes, given.node_secret, kMaxFrameBytes,
                  [this](const std::string &path, std::string body,
                         std::shared_ptr<LinkResponder> responder) {
                    this->HandleLink(path, std::move(body),
                                     std::move(responder));
                  }},
      caller_server{
          loop, given.callers, CallerLimitsFor(this->budget),
          [this](HttpRequest request, std::shared_ptr<Responder> responder) {
            this->ingress.Handle(std::move(request), std::move(responder));
          }},
      target_server{
          loop, given.targets, HttpServerLimits{kMaxBodyBytes},
          [this](HttpRequest request, std::shared_ptr<Responder> responder) {
            this->target_port.Handle(std::move(request), std::move(responder));
          }},
      operator_server{
          loop, given.operators,
          HttpServerLimits::ForRole(ConnectionRole::kOperators),
          [this](HttpRequest request, std::shared_ptr<Responder> responder) {
            this->operator_port.Handle(std::move(request),
                                       std::move(responder));
          }} {
  this->Start();
}

void Node::Start() {
  this->target_server.Open();
  this->operator_server.Open();
  this->slots.AddListener(*this);
  this->slots.AddListener(this->shares);
  this->slots.AddListener(this->once);
  this->members.OnMember(
      [this](const Member &member) { this->router.Update(member); });
  this->slots.Start();
  this->shares.Start();
  this->once.Start();
  this->config.Start();
  this->members.Start();
  // After an invariant violation, continued service may repeat it. Accepted
  // requests still get responses.
  this->loop.OnError([this](const ContainedError &error) {
    if (error.invariant_violated) this->Leave();
  });
  this->loop.Every(kExecutorTickPeriod, [this] { this->executor.Tick(); });
  // The others follow from these two here.
  for (const auto condition :
       {ReadinessCondition::kCallerListener, ReadinessCondition::kDescriptors,
        ReadinessCondition::kNotDraining})
    this->readiness.Set(condition, true);
  this->OpenWhenReady();
  this->loop.Every(kReadinessLogInterval, [this] { this->LogWaiting(); });
  this->metrics.Gauge("pollenring_in_progress", [this] {
    return static_cast<double>(this->InProgress());
  });
  this->metrics.Gauge("pollenring_config_version", [this] {
    return static_cast<double>(this->config.Ledger().Version());
  });
  this->metrics.Gauge("pollenring_slots_held", [this] {
    return static_cast<double>(this->slots.Keeper().Claims().size());
  });
  this->metrics.Gauge("pollenring_slots_without_witness", [this] {
    return static_cast<double>(this->slots.Keeper().SoleWitnessCount());
  });
  this->metrics.Gauge("pollenring_control_bytes_sent", [this] {
    return static_cast<double>(this->bus.BytesSent());
  });
  RegisterConnectionMetrics(this->metrics, this->loop);
  RegisterBufferMetrics(this->metrics, this->budget);
}

void Node::OpenWhenReady() {
  // A caller whose connection is refused tries another node; a node without
  // configuration would respond that the route does not exist.
  if (this->draining) return;
  this->readiness.Set(ReadinessCondition::kMembership, this->members.Joined());
  this->readiness.Set(ReadinessCondition::kConfiguration,
                      this->config.Ledger().Version() > 0);
  if (!this->readiness.Ready()) {
    this->loop.After(kReadyCheckPeriod, [this] { this->OpenWhenReady(); });
    return;
  }
  this->caller_server.Open();
  LogEvent(LogLevel::kInfo, "accepting callers",
           {{"version", this->config.Ledger().Version()}});
}

void Node::LogWaiting() const {
  if (this->readiness.Ready() || this->draining) return;
  LogEvent(LogLevel::kInfo, "waiting",
           {{"waiting_for", this->readiness.Unmet()},
            {"members", this->members.Get().Members().size()}});
}

void Node::HandleLink(const std::string &path, std::string body,
                      std::shared_ptr<LinkResponder> responder) {
  if (path == "call") {
    this->HandleCall(std::move(body), std::move(responder));
    return;
  }
  if (auto given = this->members.HandleRequest(path, responder->Peer(), body)) {
    responder->Send(std::move(*given));
  } else if (path == "config") {
    responder->Send(this->config.ReplyToCatchUp(body));
  } else if (path == "once-end") {
    this->once.HandleEnd(body);
    responder->Send({});
  } else if (path == "once-seed") {
    this->once.HandleSeed(body);
    responder->Send({});
  } else if (path == "once-close") {
    responder->Send(this->once.HandleClose(body));
  } else if (path == "handover") {
    this->HandleHandover(body);
    responder->Send({});
  } else {
    this->wire.unreadable.Note({responder->Peer(), "unknown", body.size(), {}});
    responder->Send({});
  }
}

void Node::HandleCall(std::string body,
                      std::shared_ptr<LinkResponder> responder) {
  auto [framed, version] =
      ReceiveCall(std::move(body), responder->Peer(), this->wire.unreadable);
  const bool late =
      this->draining &&
      this->loop.GetClock().Now() - this->drain_started_at > kDrainAcceptTime;
  // What a process reads after it stood still may have been given up long ago.
  if (!framed || late || this->loop.WokeFromStall()) {
    const Reason reason = late ? Reason::kLeaving : Reason::kLinkLost;
    const Duration jittered_retry_after =
        WithJitter(kDefaultRetryAfter, this->random);
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
}

void Node::SlotGained(SlotId /*slot*/, const SlotRow & /*row*/,
                      SlotOrigin /*origin*/, const SlotRow & /*before*/) {}

void Node::SlotWitnessesChanged(SlotId /*slot*/, const SlotRow & /*row*/) {}

void Node::SlotLost(SlotId /*slot*/) {}

void Node::SlotHandedOver(SlotId slot, const SlotRow &row,
                          const ProcessRef &successor) {
  const Handover handover{slot, row, this->shares.BucketsOf(slot),
                          this->once.LogOf(slot)};
  this->link.Call(AddressOf(successor.node), "handover", Pack(handover),
                  kHandoverTimeout, [](LinkClient::Reply) {});
}

void Node::HandleHandover(const std::string &body) {
  const auto handover = Unpack<Handover>(body);
  if (!handover || handover->slot >= this->slots.Count()) return;
  this->shares.StoreHandover(*handover);
  this->once.StoreHandover(*handover);
  if (handover->row.holder == this->slots.Self()) {
    this->slots.Keeper().AcceptHandover(handover->slot, handover->row);
    return;
  }
  this->slots.Keeper().Campaign(handover->slot);
}

void Node::Leave() {
  if (std::exchange(this->draining, true)) return;
  this->drain_started_at = this->loop.GetClock().Now();
  LogEvent(LogLevel::kInfo, "drain started",
           {{"in_progress", this->InProgress()}});
  this->members.Get().Leave();
  this->caller_server.Drain();
  this->CheckDrained();
}

void Node::CheckDrained() {
  const Duration since = this->loop.GetClock().Now() - this->drain_started_at;
  this->slots.HandOverAll();
  const bool accepting = since < kDrainAcceptTime;
  if (!accepting) this->caller_server.Close();
  const bool handing_over =
      !this->slots.Empty() && since < kMaxSlotHandoverTime;
  if (!accepting && !handing_over && this->InProgress() == 0) {
    LogEvent(LogLevel::kInfo, "drain completed");
    this->loop.After(kDrainCheckPeriod, [this] { this->loop.Stop(); });
    return;
  }
  this->loop.After(kDrainCheckPeriod, [this] { this->CheckDrained(); });
}

std::size_t Node::InProgress() const {
  return this->caller_server.InProgress() + this->dispatcher.InProgress() +
         this->executor.InProgress();
}

nlohmann::json Node::Status() const {
  std::size_t unheld = 0;
  for (SlotId slot = 0; slot < this->slots.Count(); ++slot) {
    if (!this->slots.HolderOf(slot)) ++unheld;
  }
  return {
      {"node", this->settings.nodes.Format()},
      {"zone", this->settings.zone},
      {"config_version", this->config.Ledger().Version()},
      {"fresh", this->config.Fresh()},
      {"leaving", this->draining},
      {"open_for_callers", this->caller_server.IsOpen()},
      {"in_progress", this->InProgress()},
      {"slots_without_holder", unheld},
      {"slots_without_witness", this->slots.Keeper().SoleWitnessCount()},
      {"requests", this->metrics.Read("pollenring_requests_total")},
      {"refusals", this->metrics.Read("pollenring_refusals_total")},
      {"members", DescribeMembers(this->members.Get(), this->wire.versions)}};
}

}  // namespace pollenring
