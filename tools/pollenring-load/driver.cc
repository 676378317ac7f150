#include "driver.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <utility>

#include "pollenring/core/request_id.h"

namespace load {
namespace {

using pollenring::Duration;
using pollenring::FindHeader;
using pollenring::HttpClient;
using pollenring::HttpResponse;
using pollenring::Time;

constexpr int kMinErrorStatus = 400;
constexpr Duration kControlTimeout = std::chrono::seconds{2};
constexpr std::size_t kMaxNotExecutedIds = 100'000;

}  // namespace

Driver::Driver(const Scenario &scenario, pollenring::Loop &loop,
               HttpClient &client)
    : scenario{scenario},
      loop{loop},
      client{client},
      random{scenario.seed},
      metrics{scenario} {}

void Driver::Start() {
  this->start_time = this->loop.GetClock().Now();
  for (std::size_t i = 0; i < this->scenario.callers.size(); ++i) {
    this->ScheduleNext(i, Time{0});
  }
  if (this->scenario.trigger_to > Duration{0}) {
    this->loop.After(this->scenario.trigger_from,
                     [this] { this->SetTargetLatencies(true); });
    this->loop.After(this->scenario.trigger_to,
                     [this] { this->SetTargetLatencies(false); });
  }
  this->loop.After(this->scenario.length + this->scenario.timeout,
                   [this] { this->loop.Stop(); });
}

Time Driver::Elapsed() const {
  return this->loop.GetClock().Now() - this->start_time;
}

void Driver::ScheduleNext(std::size_t index, Time now) {
  const Caller &caller = this->scenario.callers[index];
  if (now >= this->scenario.length) return;
  const bool surging =
      now >= this->scenario.trigger_from && now < this->scenario.trigger_to;
  const double rate = caller.demand * (surging ? caller.surge : 1);
  const double gap = -std::log(1 - this->random.Fraction()) / rate;
  const Time at = now + Duration{static_cast<std::int64_t>(gap * 1e6)};
  // The schedule does not drift when the loop is late.
  const Duration wait = std::max(Duration{0}, at - this->Elapsed());
  this->loop.After(wait, [this, index, at] {
    auto pending = std::make_shared<PendingRequest>();
    pending->caller = index;
    pending->id =
        pollenring::NewRequestId(this->loop.GetClock().WallNow(), this->random);
    pending->requested_at = this->Elapsed();
    pending->retries_left = this->scenario.retries;
    if (at < this->scenario.length) {
      this->metrics.RecordRequest(index, pending->requested_at);
      this->SendAttempt(pending);
    }
    this->ScheduleNext(index, at);
  });
}

void Driver::SendAttempt(const PendingRequestPtr &pending) {
  const Caller &caller = this->scenario.callers[pending->caller];
  pollenring::HttpRequest request;
  request.method = caller.method;
  request.path = caller.path;
  request.body = caller.body;
  request.headers.push_back({"pollenring-key", caller.key});
  request.headers.push_back({"pollenring-request-id", pending->id});
  request.headers.push_back({"pollenring-workspace", caller.workspace});
  const Time sent_at = this->Elapsed();
  const bool within_rate =
      this->metrics.RecordAttemptStart(pending->caller, sent_at);
  const auto &nodes = this->scenario.nodes;
  const auto &node = nodes[this->random.Index(nodes.size())];
  this->client.Call(
      node, request, this->scenario.timeout,
      [this, pending, sent_at, within_rate](HttpClient::Reply reply) {
        this->AttemptEnded(pending, sent_at, within_rate, std::move(reply));
      });
}

void Driver::AttemptEnded(const PendingRequestPtr &pending, Time sent_at,
                          bool within_rate, HttpClient::Reply reply) {
  AttemptResult result = AttemptResult::kFailed;
  std::string reason;
  if (const auto *response = std::get_if<HttpResponse>(&reply)) {
    reason = std::string{FindHeader(response->headers, "pollenring-reason")};
    const auto outcome = FindHeader(response->headers, "pollenring-outcome");
    const bool not_executed = outcome == "not-run";
    if (not_executed && this->not_executed_ids.size() < kMaxNotExecutedIds) {
      this->not_executed_ids.push_back(pending->id);
    }
    if (response->status < kMinErrorStatus) {
      result = AttemptResult::kSucceeded;
    } else if (reason == "over-rate" || reason == "no-share") {
      result = AttemptResult::kRateLimited;
    } else if (not_executed) {
      result = AttemptResult::kRejected;
    } else if (reason.empty()) {
      reason = "status " + std::to_string(response->status);
    }
  } else {
    reason = std::string{pollenring::kCallErrorNames.Name(
        std::get<pollenring::CallError>(reply))};
  }
  this->metrics.RecordAttemptEnd(pending->caller, sent_at, within_rate, result,
                                 reason);
  const Time now = this->Elapsed();
  if (result == AttemptResult::kSucceeded) {
    this->metrics.RecordSuccess(pending->caller, now,
                                now - pending->requested_at);
    return;
  }
  const bool late = now - pending->requested_at >= this->scenario.timeout;
  if (pending->retries_left == 0 || late || now >= this->scenario.length)
    return;
  --pending->retries_left;
  this->loop.After(this->scenario.retry_pause,
                   [this, pending] { this->SendAttempt(pending); });
}

void Driver::SetTargetLatencies(bool slow) {
  for (const auto &target : this->scenario.slow) {
    const double latency = slow ? target.latency_ms : target.normal_ms;
    const nlohmann::json json{{"latency_ms", latency}};
    this->client.Call(target.address,
                      {"POST", "/.standin/control", {}, json.dump()},
                      kControlTimeout, [](HttpClient::Reply) {});
  }
}

}  // namespace load
