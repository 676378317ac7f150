#include <algorithm>
#include <chrono>
#include <utility>

#include "pollenring/log/log.h"
#include "pollenring/mesh/mesh_node.h"
#include "pollenring/node/describe_connections.h"
#include "pollenring/node/describe_members.h"

namespace pollenring {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kUnavailable = 503;
constexpr std::string_view kReleasePath{"/quarantine/release/"};
/*! @brief Entries of each list in the status. */
constexpr std::size_t kMaxListed = 64;

[[nodiscard]] double Seconds(Duration duration) {
  return std::chrono::duration<double>{duration}.count();
}

/*! @brief Lists the requests in quarantine, those with most blame first. */
[[nodiscard]] nlohmann::json Describe(
    std::vector<QuarantinedRequest> requests) {
  std::sort(requests.begin(), requests.end(),
            [](const auto &a, const auto &b) { return a.blame > b.blame; });
  if (requests.size() > kMaxListed) requests.resize(kMaxListed);
  nlohmann::json described = nlohmann::json::array();
  for (const auto &request : requests) {
    described.push_back(
        {{"fingerprint", FormatFingerprint(request.fingerprint)},
         {"standing", kStandingNames.Name(request.standing)},
         {"crashes", request.crashes},
         {"blame", request.blame},
         {"age_s", Seconds(request.age)},
         {"blocked_for_s", Seconds(request.blocked_for)}});
  }
  return described;
}

/*! @brief Capacity of the targets here. */
[[nodiscard]] nlohmann::json Describe(
    const std::vector<CapacityView> &capacities) {
  nlohmann::json described = nlohmann::json::array();
  for (const auto &view : capacities) {
    described.push_back({{"service", view.service},
                         {"announced", view.announced},
                         {"reported", view.reported},
                         {"limit", view.limit},
                         {"used", view.used},
                         {"learned", view.learned},
                         {"slowness", view.slowness},
                         {"age_s", Seconds(view.age)}});
  }
  return described;
}

/*! @brief Targets that report times of kinds, those of most time first. */
[[nodiscard]] nlohmann::json Describe(std::vector<PlacementView> placements) {
  std::sort(
      placements.begin(), placements.end(), [](const auto &a, const auto &b) {
        return a.relative_time * a.slowness > b.relative_time * b.slowness;
      });
  if (placements.size() > kMaxListed) placements.resize(kMaxListed);
  nlohmann::json described = nlohmann::json::array();
  for (const auto &view : placements) {
    described.push_back({{"service", view.service},
                         {"node", AddressOf(view.node).Format()},
                         {"relative_time", view.relative_time},
                         {"slowness", view.slowness},
                         {"utilization", view.utilization},
                         {"limit", view.limit},
                         {"age_s", Seconds(view.age)}});
  }
  return described;
}

}  // namespace

bool MeshNode::IsMet(ReadinessCondition condition) const {
  switch (condition) {
    case ReadinessCondition::kConfiguration:
      return this->policy.Active().Version() > 0;
    case ReadinessCondition::kMembership:
      return this->members.Joined();
    case ReadinessCondition::kCallerListener:
      return this->caller_server.IsOpen();
    case ReadinessCondition::kDescriptors:
      return this->loop.Connections().Accepting(ConnectionRole::kCallers);
    case ReadinessCondition::kNotDraining:
      return !this->draining;
  }
  return false;
}

bool MeshNode::CheckReadiness() {
  for (const auto &row : kReadinessConditionNames.rows)
    this->readiness.Set(row.value, this->IsMet(row.value));
  return this->readiness.Ready();
}

nlohmann::json MeshNode::DescribeWaiting() const {
  const Duration silence = this->policy.TimeSinceStoreContact();
  return {{"waiting_for", this->readiness.Unmet()},
          {"members", this->members.Get().Members().size()},
          {"store_silent_ms", silence.count() / 1000},
          {"connections", this->loop.Connections().Open()}};
}

bool MeshNode::RecordReadiness() {
  const bool ready = this->CheckReadiness();
  if (std::exchange(this->was_ready, ready) == ready) return ready;
  nlohmann::json fields = this->DescribeWaiting();
  fields["version"] = this->policy.Active().Version();
  LogEvent(LogLevel::kInfo, ready ? "ready" : "not ready", std::move(fields));
  return ready;
}

void MeshNode::LogWaiting() {
  if (this->RecordReadiness() || this->draining) return;
  LogEvent(LogLevel::kInfo, "waiting", this->DescribeWaiting());
}

void MeshNode::HandleReady(const std::shared_ptr<Responder> &responder) {
  if (this->RecordReadiness()) {
    responder->Send({kOk, {}, {}});
    return;
  }
  responder->Send({kUnavailable,
                   {{"content-type", "application/json"}},
                   this->DescribeWaiting().dump()});
}

void MeshNode::RegisterMetrics() {
  this->metrics.Gauge("pollenring_in_progress", [this] {
    return static_cast<double>(this->InProgress());
  });
  this->metrics.Gauge("pollenring_config_version", [this] {
    return static_cast<double>(this->policy.Active().Version());
  });
  this->metrics.Gauge("pollenring_store_silence_seconds", [this] {
    return std::chrono::duration<double>{this->policy.TimeSinceStoreContact()}
        .count();
  });
  this->metrics.Gauge("pollenring_target_running", [this] {
    return static_cast<double>(this->executor.RunningCount());
  });
  this->metrics.Gauge("pollenring_zones_withdrawn", [this] {
    return static_cast<double>(this->policy.Zones().Newest().zones.size());
  });
  this->metrics.Gauge("pollenring_target_cold_seconds", [this] {
    return std::chrono::duration<double>{this->executor.ColdFor()}.count();
  });
  const auto capacity = [this](const char *name, auto read) {
    this->metrics.Gauge(name, [this, read] {
      double sum = 0;
      for (const auto &view : this->executor.Capacities()) sum += read(view);
      return sum;
    });
  };
  capacity("pollenring_target_slots", [](const CapacityView &view) {
    return static_cast<double>(view.announced);
  });
  capacity("pollenring_target_limit", [](const CapacityView &view) {
    return static_cast<double>(view.limit);
  });
  this->metrics.Gauge("pollenring_target_slowness_ratio", [this] {
    double slowest = 0;
    for (const auto &view : this->executor.Capacities()) {
      slowest = std::max(slowest, view.slowness);
    }
    return slowest;
  });
  this->metrics.Gauge("pollenring_answers_held_bytes", [this] {
    return static_cast<double>(this->parts.client.BufferedBytes());
  });
  for (const auto &row : kResponseFaultNames.rows) {
    if (row.value == ResponseFault::kNone) continue;
    this->metrics.Gauge(
        "pollenring_broken_responses",
        [this, fault = row.value] {
          return static_cast<double>(this->parts.client.BrokenResponses(fault));
        },
        {"reason", std::string{row.name}});
  }
  this->metrics.Gauge("pollenring_connects", [this] {
    return static_cast<double>(this->parts.client.Connects());
  });
  this->metrics.Gauge("pollenring_control_bytes_sent", [this] {
    return static_cast<double>(this->bus.BytesSent());
  });
  RegisterConnectionMetrics(this->metrics, this->loop);
  if (this->parts.budget != nullptr) {
    RegisterBufferMetrics(this->metrics, *this->parts.budget);
  }
}

void MeshNode::HandleRelease(const HttpRequest &request,
                             const std::shared_ptr<Responder> &responder) {
  if (request.method != "POST") {
    responder->Send({kMethodNotAllowed, {}, "release takes POST\n"});
    return;
  }
  const auto fingerprint =
      ParseFingerprint(request.path.substr(kReleasePath.size()));
  if (!fingerprint) {
    responder->Send({kBadRequest, {}, "a fingerprint has 16 hex digits\n"});
    return;
  }
  if (!this->quarantine.Release(*fingerprint)) {
    responder->Send({kNotFound, {}, "not in quarantine\n"});
    return;
  }
  LogEvent(LogLevel::kInfo, "request released by the operator",
           {{"fingerprint", FormatFingerprint(*fingerprint)}});
  responder->Send({kOk, {}, "released\n"});
}

void MeshNode::HandleOperator(const HttpRequest &request,
                              const std::shared_ptr<Responder> &responder) {
  const bool releases =
      request.path.compare(0, kReleasePath.size(), kReleasePath) == 0;
  if (releases) {
    this->HandleRelease(request, responder);
    return;
  }
  if (request.path == "/status") {
    responder->Send({kOk,
                     {{"content-type", "application/json"}},
                     this->Status().dump() + "\n"});
    return;
  }
  if (request.path != "/metrics") {
    responder->Send({kNotFound, {}, "only /metrics and /status are served\n"});
    return;
  }
  responder->Send({kOk,
                   {{"content-type", "text/plain; version=0.0.4"}},
                   this->metrics.Expose()});
}

nlohmann::json MeshNode::Status() {
  nlohmann::json zones = nlohmann::json::array();
  for (const auto &[zone, since] : this->policy.WithdrawnSince()) {
    const Duration age = this->loop.GetClock().Now() - since;
    zones.push_back({{"zone", zone},
                     {"for_s", std::chrono::duration<double>{age}.count()}});
  }
  return {
      {"node", this->settings.nodes.Format()},
      {"zone", this->settings.zone},
      {"config_version", this->policy.Active().Version()},
      {"fresh", this->policy.Active().Version() > 0},
      {"leaving", this->draining},
      {"open_for_callers", this->CheckReadiness()},
      {"in_progress", this->InProgress()},
      {"requests", this->metrics.Read("pollenring_requests_total")},
      {"refusals", this->metrics.Read("pollenring_refusals_total")},
      {"zones_withdrawn", std::move(zones)},
      {"connections", DescribeConnections(this->loop)},
      {"capacity", Describe(this->executor.Capacities())},
      {"placement", Describe(this->router.Placements())},
      {"buffers", this->parts.budget == nullptr
                      ? nlohmann::json::object()
                      : DescribeBuffers(*this->parts.budget)},
      {"quarantine", Describe(this->quarantine.Requests())},
      {"members", DescribeMembers(this->members.Get(), this->wire.versions)}};
}

}  // namespace pollenring
