#include "target.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace standin {
namespace {

using Json = nlohmann::json;
using pollenring::Duration;
using pollenring::FindHeader;
using pollenring::HttpClient;
using pollenring::HttpRequest;
using pollenring::HttpResponse;

constexpr int kOk = 200;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kFailedFrom = 400;
constexpr Duration kAnnouncePeriod = std::chrono::milliseconds{500};
constexpr Duration kCallTimeout = std::chrono::seconds{5};
constexpr Duration kNoDeadline = std::chrono::seconds{10};
constexpr Duration kDrainNotice = std::chrono::seconds{3};
/*! @brief Constant fraction of the service time; the rest is exponential. */
constexpr double kFixedPart = 0.5;

}  // namespace

Target::Target(TargetOptions options, pollenring::Loop &loop,
               HttpClient &client)
    : options{std::move(options)},
      loop{loop},
      client{client},
      random{this->options.seed},
      started{loop.GetClock().Now()} {}

void Target::Start() {
  if (!this->options.direct.empty() || this->options.node.port == 0) return;
  this->Announce();
  this->loop.Every(kAnnouncePeriod, [this] { this->Announce(); });
}

void Target::Announce() {
  const Duration age = this->loop.GetClock().Now() - this->started;
  const bool cold = age < this->options.cold_start;
  const char *state = this->draining ? "draining" : cold ? "cold" : "warm";
  const Json json{{"service", this->options.service},
                  {"slots", this->options.slots},
                  {"state", state},
                  {"address", this->options.address.Format()}};
  const HttpRequest request{"POST",
                            "/.pollenring/announce",
                            {{"pollenring-secret", this->options.secret}},
                            json.dump()};
  this->client.Call(this->options.node, request, kCallTimeout,
                    [](HttpClient::Reply) {});
}

void Target::Drain() {
  if (std::exchange(this->draining, true)) return;
  this->Announce();
  this->loop.After(kDrainNotice, [this] {
    this->loop.Every(std::chrono::milliseconds{20}, [this] {
      if (this->running == 0 && this->waiting.empty()) this->loop.Stop();
    });
  });
}

void Target::Handle(HttpRequest request,
                    std::shared_ptr<pollenring::Responder> responder) {
  if (request.path == "/.standin/control") {
    this->Control(request.body);
    responder->Send({kOk, {}, "{}"});
    return;
  }
  if (request.path == "/.standin/report") {
    responder->Send({kOk, {}, this->Report()});
    return;
  }
  auto work = std::make_shared<Work>();
  work->request = std::move(request);
  work->responder = std::move(responder);
  const auto deadline =
      FindHeader(work->request.headers, "pollenring-deadline-ms");
  const Duration left =
      deadline.empty()
          ? kNoDeadline
          : std::chrono::milliseconds{std::atol(std::string{deadline}.c_str())};
  work->deadline = this->loop.GetClock().Now() + left;
  this->Record(*work);
  const std::size_t load = this->running + this->waiting.size();
  if (this->options.fixed_limit > 0 && load >= this->options.fixed_limit) {
    work->responder->Send({kUnavailable, {}, "limit"});
    return;
  }
  std::weak_ptr<Work> weak = work;
  work->responder->OnCancel([this, weak](pollenring::CallerDisconnect) {
    const auto held = weak.lock();
    if (!held || this->options.keeps_calls) return;
    held->gone = true;
    this->client.Cancel(held->call);
  });
  if (this->running < this->options.slots) {
    this->Begin(work);
    return;
  }
  this->waiting.push_back(work);
}

void Target::Record(const Work &work) {
  ++this->runs;
  const HttpRequest &request = work.request;
  const std::string id{FindHeader(request.headers, "pollenring-request-id")};
  if (request.method == "POST") ++this->runs_by_id[id];
  const std::string workspace{
      FindHeader(request.headers, "pollenring-workspace")};
  this->arrivals[workspace].push_back(this->loop.GetClock().Now().count());
  const auto holds = [](const std::string &text, const std::string &what) {
    return text.find(what) != std::string::npos;
  };
  for (const auto &what : this->forbidden) {
    bool seen = holds(request.path, what) || holds(request.body, what);
    for (const auto &header : request.headers) {
      seen = seen || holds(header.value, what) || holds(header.name, what);
    }
    if (seen) ++this->forbidden_seen;
  }
}

void Target::Begin(const WorkPtr &work) {
  ++this->running;
  if (this->options.latency_ms == 0) {
    this->CallNext(work, this->options.naive_retries);
    return;
  }
  this->loop.After(this->ServiceTime(), [this, work] {
    this->CallNext(work, this->options.naive_retries);
  });
}

Duration Target::ServiceTime() {
  const double varying = -std::log(1.0 - this->random.Fraction());
  const double factor = kFixedPart + (1 - kFixedPart) * varying;
  return Duration{
      static_cast<std::int64_t>(this->options.latency_ms * 1000 * factor)};
}

void Target::CallNext(const WorkPtr &work, int tries_left) {
  if (work->gone) {
    this->Finish(work, kBadGateway, "gone");
    return;
  }
  if (work->next_call == this->options.downstream.size()) {
    // The query parameter sets the size of the response body.
    const auto size_at = work->request.path.find("?bytes=");
    std::string body = "{\"service\":\"" + this->options.service + "\"}";
    if (size_at != std::string::npos) {
      body.assign(std::stoul(work->request.path.substr(size_at + 7)), 'x');
    } else if (work->request.method == "POST" && !work->request.body.empty()) {
      body = work->request.body;
    }
    this->Finish(work, kOk, std::move(body));
    return;
  }
  const Downstream &next = this->options.downstream[work->next_call];
  HttpRequest request{"GET", "/" + next.service + next.path, {}, {}};
  const auto pass = [&](const char *name) {
    const auto value = FindHeader(work->request.headers, name);
    if (!value.empty()) request.headers.push_back({name, std::string{value}});
  };
  pass("pollenring-context");
  if (!this->options.direct.empty()) {
    request.path = next.path;
    pass("pollenring-request-id");
    pass("pollenring-workspace");
  }
  const Duration left = work->deadline - this->loop.GetClock().Now();
  if (left <= Duration{0}) {
    this->Finish(work, kUnavailable, "deadline");
    return;
  }
  work->call = this->client.Call(
      this->PeerFor(next.service), request, left,
      [this, work, tries_left](HttpClient::Reply reply) {
        const auto *response = std::get_if<HttpResponse>(&reply);
        const bool good = response != nullptr && response->status < kFailedFrom;
        if (good) {
          ++work->next_call;
          this->CallNext(work, this->options.naive_retries);
          return;
        }
        if (tries_left > 0 && !work->gone) {
          this->CallNext(work, tries_left - 1);
          return;
        }
        this->Finish(work, kBadGateway, "downstream failed");
      });
}

pollenring::Address Target::PeerFor(const std::string &service) {
  const auto found = this->options.direct.find(service);
  if (found == this->options.direct.end()) return this->options.node;
  return found->second[this->random.Index(found->second.size())];
}

void Target::Finish(const WorkPtr &work, int status, std::string body) {
  if (status == kOk && !work->gone) ++this->completed;
  if (status != kOk || work->gone) ++this->wasted;
  work->responder->Send({status, {}, std::move(body)});
  --this->running;
  while (!this->waiting.empty() && this->running < this->options.slots) {
    const WorkPtr next = this->waiting.front();
    this->waiting.pop_front();
    if (next->gone) continue;
    this->Begin(next);
  }
}

void Target::Control(const std::string &body) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object()) return;
  this->options.latency_ms = json.value("latency_ms", this->options.latency_ms);
  this->options.keeps_calls =
      json.value("keeps_calls", this->options.keeps_calls);
  this->options.slots = json.value("slots", this->options.slots);
  if (json.contains("forbidden")) {
    this->forbidden = json["forbidden"].get<std::vector<std::string>>();
  }
  if (json.value("drain", false)) this->Drain();
}

std::string Target::Report() const {
  std::uint64_t doubles = 0;
  for (const auto &[id, count] : this->runs_by_id) {
    if (count > 1) ++doubles;
  }
  Json ids = Json::object();
  for (const auto &[id, count] : this->runs_by_id) ids[id] = count;
  return Json{
      {"runs", this->runs},           {"completed", this->completed},
      {"wasted", this->wasted},       {"double_runs", doubles},
      {"runs_by_id", std::move(ids)}, {"forbidden_seen", this->forbidden_seen},
      {"arrivals_us", this->arrivals}}
      .dump();
}

}  // namespace standin
