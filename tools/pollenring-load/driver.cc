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

constexpr int kFailedFrom = 400;
constexpr Duration kControlTimeout = std::chrono::seconds{2};
constexpr std::size_t kMostNotRun = 100'000;

}  // namespace

Driver::Driver(const Scenario &scenario, pollenring::Loop &loop,
               HttpClient &client)
    : scenario{scenario},
      loop{loop},
      client{client},
      random{scenario.seed},
      measures{scenario} {}

void Driver::Start() {
  this->started = this->loop.GetClock().Now();
  for (std::size_t i = 0; i < this->scenario.callers.size(); ++i) {
    this->Next(i, Time{0});
  }
  if (this->scenario.trigger_to > Duration{0}) {
    this->loop.After(this->scenario.trigger_from,
                     [this] { this->SetLatencies(true); });
    this->loop.After(this->scenario.trigger_to,
                     [this] { this->SetLatencies(false); });
  }
  this->loop.After(this->scenario.length + this->scenario.timeout,
                   [this] { this->loop.Stop(); });
}

Time Driver::Elapsed() const {
  return this->loop.GetClock().Now() - this->started;
}

void Driver::Next(std::size_t index, Time now) {
  const Caller &caller = this->scenario.callers[index];
  if (now >= this->scenario.length) return;
  const bool surging =
      now >= this->scenario.trigger_from && now < this->scenario.trigger_to;
  const double rate = caller.demand * (surging ? caller.surge : 1);
  const double gap = -std::log(1 - this->random.Fraction()) / rate;
  const Time at = now + Duration{static_cast<std::int64_t>(gap * 1e6)};
  // Arrivals are scheduled absolutely, so a late loop adds no drift.
  const Duration wait = std::max(Duration{0}, at - this->Elapsed());
  this->loop.After(wait, [this, index, at] {
    auto wish = std::make_shared<Wish>();
    wish->caller = index;
    wish->id = pollenring::MintRequestId(this->loop.GetClock().WallNow(),
                                         this->random);
    wish->wanted = this->Elapsed();
    wish->tries_left = this->scenario.retries;
    if (at < this->scenario.length) {
      this->measures.Wanted(index, wish->wanted);
      this->Try(wish);
    }
    this->Next(index, at);
  });
}

void Driver::Try(const WishPtr &wish) {
  const Caller &caller = this->scenario.callers[wish->caller];
  pollenring::HttpRequest request;
  request.method = caller.method;
  request.path = caller.path;
  request.body = caller.body;
  request.headers.push_back({"pollenring-key", caller.key});
  request.headers.push_back({"pollenring-request-id", wish->id});
  request.headers.push_back({"pollenring-workspace", caller.workspace});
  const Time left = this->Elapsed();
  const bool within = this->measures.TryLeaves(wish->caller, left);
  const auto &nodes = this->scenario.nodes;
  const auto &node = nodes[this->random.Index(nodes.size())];
  this->client.Call(node, request, this->scenario.timeout,
                    [this, wish, left, within](HttpClient::Reply reply) {
                      this->Ended(wish, left, within, std::move(reply));
                    });
}

void Driver::Ended(const WishPtr &wish, Time left, bool within,
                   HttpClient::Reply reply) {
  TryResult result = TryResult::kFailed;
  std::string reason;
  if (const auto *response = std::get_if<HttpResponse>(&reply)) {
    reason = std::string{FindHeader(response->headers, "pollenring-reason")};
    const auto outcome = FindHeader(response->headers, "pollenring-outcome");
    const bool refused = outcome == "not-run";
    if (refused && this->said_not_run.size() < kMostNotRun) {
      this->said_not_run.push_back(wish->id);
    }
    if (response->status < kFailedFrom) {
      result = TryResult::kWhole;
    } else if (reason == "over-rate" || reason == "no-share") {
      result = TryResult::kRefusedRate;
    } else if (refused) {
      result = TryResult::kRefusedOther;
    } else if (reason.empty()) {
      reason = "status " + std::to_string(response->status);
    }
  } else {
    reason = std::string{pollenring::kCallErrorNames.Name(
        std::get<pollenring::CallError>(reply))};
  }
  this->measures.TryEnded(wish->caller, left, within, result, reason);
  const Time now = this->Elapsed();
  if (result == TryResult::kWhole) {
    this->measures.Whole(wish->caller, now, now - wish->wanted);
    return;
  }
  const bool late = now - wish->wanted >= this->scenario.timeout;
  if (wish->tries_left == 0 || late || now >= this->scenario.length) return;
  --wish->tries_left;
  this->loop.After(this->scenario.retry_pause,
                   [this, wish] { this->Try(wish); });
}

void Driver::SetLatencies(bool slow) {
  for (const auto &target : this->scenario.slow) {
    const double latency = slow ? target.latency_ms : target.normal_ms;
    const nlohmann::json json{{"latency_ms", latency}};
    this->client.Call(target.address,
                      {"POST", "/.standin/control", {}, json.dump()},
                      kControlTimeout, [](HttpClient::Reply) {});
  }
}

}  // namespace load
