#include <benchmark/benchmark.h>

#include <memory>
#include <string>
#include <vector>

#include "pollenring/admission/admission.h"
#include "pollenring/config/ledger.h"
#include "pollenring/core/hash.h"
#include "pollenring/core/random.h"
#include "pollenring/lease/witness.h"
#include "pollenring/membership/membership.h"
#include "pollenring/node/wire.h"
#include "pollenring/once/ledger.h"
#include "pollenring/routing/router.h"
#include "pollenring/share/borrower.h"
#include "pollenring/share/lender.h"

namespace {

using pollenring::Duration;
using pollenring::ManualClock;
using pollenring::Member;
using pollenring::NodeId;
using pollenring::SeededRandom;

constexpr Duration kClockStep = std::chrono::microseconds{50};

[[nodiscard]] std::string WorkspaceName(std::size_t index) {
  return "workspace-" + std::to_string(index);
}

[[nodiscard]] Member MakeMember(std::size_t index, std::size_t services) {
  Member member;
  member.id = index + 1;
  member.process = index + 7;
  member.incarnation = 1;
  member.zone = "zone-" + std::to_string(index % 7);
  member.region = "region-" + std::to_string(index % 3);
  member.targets.push_back({"service-" + std::to_string(index % services), 50,
                            pollenring::TargetState::kWarm});
  return member;
}

/*! @brief One admission and its end, with the queue in use. */
void BM_Admission(benchmark::State &state) {
  ManualClock clock{std::chrono::hours{1}};
  pollenring::Admission admission{8, {}, clock};
  const auto workspaces = static_cast<std::size_t>(state.range(0));
  std::vector<std::uint64_t> running;
  std::uint64_t id = 0;
  for (auto _ : state) {
    pollenring::AdmissionRequest request;
    request.id = ++id;
    request.workspace = WorkspaceName(id % workspaces);
    request.deadline = clock.Now() + std::chrono::seconds{2};
    request.sub_priority = 0.5;
    for (const auto started : admission.Offer(request).start) {
      running.push_back(started);
    }
    if (running.size() >= 8) {
      const auto next = admission.Finish(running.back(), Duration{0}, false);
      running.pop_back();
      for (const auto started : next.start) running.push_back(started);
    }
    clock.Advance(kClockStep);
  }
}
BENCHMARK(BM_Admission)->Arg(8)->Arg(128)->Arg(2000);

/*! @brief One choice of a target among endpoints of a single service. */
void BM_RouterChoice(benchmark::State &state) {
  ManualClock clock{std::chrono::hours{1}};
  SeededRandom random{1};
  pollenring::Router router{"zone-0", "region-0", {}, clock, random};
  const auto endpoints = static_cast<std::size_t>(state.range(0));
  for (std::size_t i = 0; i < endpoints; ++i) router.Update(MakeMember(i, 1));
  const std::string service = "service-0";
  for (auto _ : state) {
    const auto node = router.Choose(service, {});
    router.Started(service, *node);
    router.Finished(service, *node, pollenring::CallVerdict::kAnswered,
                    pollenring::LoadReport{3, 50});
  }
}
BENCHMARK(BM_RouterChoice)->Arg(15)->Arg(250)->Arg(4000);

/*! @brief Answers each borrow at once. */
class InstantLender final : public pollenring::ShareDelegate {
 public:
  bool SendBorrow(const pollenring::BorrowRequest &request) override {
    if (request.want == 0) return true;
    this->reply.slot = request.slot;
    this->reply.workspace = request.workspace;
    this->reply.loan = request.loan;
    this->reply.granted = request.want;
    this->reply.validity_us = 400'000;
    this->reply.holder = true;
    this->waiting = true;
    return true;
  }
  pollenring::BorrowReply reply;
  bool waiting{};
};

/*! @brief One charge, loans included. */
void BM_ShareCharge(benchmark::State &state) {
  ManualClock clock{std::chrono::hours{1}};
  InstantLender lender;
  pollenring::ShareBorrower borrower{1, 1024, {}, clock, lender};
  const auto workspaces = static_cast<std::size_t>(state.range(0));
  std::size_t i = 0;
  for (auto _ : state) {
    borrower.Charge(WorkspaceName(++i % workspaces),
                    pollenring::WaitLimit::Until(pollenring::Time::max()),
                    [](const pollenring::ChargeResult &) {});
    if (lender.waiting) {
      lender.waiting = false;
      const auto reply = lender.reply;
      borrower.HandleReply(reply);
    }
    clock.Advance(kClockStep);
  }
}
BENCHMARK(BM_ShareCharge)->Arg(8)->Arg(128)->Arg(2000);

/*! @brief One loan at a holder. */
void BM_ShareLoan(benchmark::State &state) {
  ManualClock clock{std::chrono::hours{1}};
  pollenring::ShareLender lender{true, clock};
  const auto workspaces = static_cast<std::size_t>(state.range(0));
  std::size_t i = 0;
  pollenring::BorrowRequest request;
  pollenring::BorrowReply reply;
  for (auto _ : state) {
    request.workspace = WorkspaceName(++i % workspaces);
    request.borrower = i % 4000;
    request.loan = i;
    request.want = 1;
    request.urgent = 1;
    reply = lender.Lend(request, {request.workspace, 1e6, 1e6, {}}, {0, 3},
                        clock.Now() + std::chrono::seconds{2});
    benchmark::DoNotOptimize(reply);
    clock.Advance(kClockStep);
  }
  // A node numbers its loans from a process number of 64 bits.
  request.borrower = ~std::uint64_t{};
  state.counters["bytes"] = benchmark::Counter(static_cast<double>(
      pollenring::Pack(request).size() + pollenring::Pack(reply).size()));
}
BENCHMARK(BM_ShareLoan)->Arg(8)->Arg(128)->Arg(2000);

/*! @brief Drops what membership sends, counting bytes. */
class CountingDelegate final : public pollenring::MembershipDelegate {
 public:
  void SendGossip(NodeId /*to*/, const pollenring::Gossip &gossip) override {
    ++this->messages;
    this->bytes += pollenring::Pack(gossip).size();
  }
  void MemberChanged(const Member & /*member*/) override {}
  void RecordsDiffer(NodeId /*peer*/) override {}
  void PeerZoneWithdrawals(
      const pollenring::ZoneWithdrawals & /*word*/) override {}
  [[nodiscard]] std::vector<pollenring::CrashReport> TakeCrashReports()
      override {
    return {};
  }
  void PeerCrashReports(
      const std::vector<pollenring::CrashReport> & /*reports*/) override {}
  void PeerConfigVersion(NodeId /*peer*/, std::uint64_t /*version*/) override {}
  std::uint64_t messages{};
  std::uint64_t bytes{};
};

/*! @brief One probe period of membership: a probe out, one in, its answer. */
void BM_MembershipPeriod(benchmark::State &state) {
  ManualClock clock{std::chrono::hours{1}};
  SeededRandom random{1};
  CountingDelegate delegate;
  pollenring::Membership membership{
      MakeMember(0, 540), {}, clock, random, delegate};
  const auto size = static_cast<std::size_t>(state.range(0));
  std::vector<Member> members;
  for (std::size_t i = 1; i < size; ++i) members.push_back(MakeMember(i, 540));
  membership.Merge(members);
  for (int i = 0; i < 200; ++i) {
    clock.Advance(std::chrono::milliseconds{300});
    membership.Tick();
    membership.Merge(members);
  }
  delegate.messages = 0;
  delegate.bytes = 0;
  for (auto _ : state) {
    clock.Advance(std::chrono::milliseconds{300});
    membership.Tick();
    pollenring::Gossip gossip;
    gossip.from = 1 + random.Index(size);
    gossip.updates.push_back(members[random.Index(members.size())]);
    membership.Receive(gossip);
  }
  state.counters["bytes_per_message"] = benchmark::Counter(
      static_cast<double>(delegate.bytes) /
      static_cast<double>(std::max<std::uint64_t>(1, delegate.messages)));
}
BENCHMARK(BM_MembershipPeriod)->Arg(100)->Arg(1000)->Arg(4000);

/*! @brief Taking in all records, as a joining node does. */
void BM_MembershipJoin(benchmark::State &state) {
  ManualClock clock{std::chrono::hours{1}};
  SeededRandom random{1};
  const auto size = static_cast<std::size_t>(state.range(0));
  std::vector<Member> members;
  for (std::size_t i = 1; i < size; ++i) members.push_back(MakeMember(i, 540));
  const std::string packed = pollenring::Pack(members);
  for (auto _ : state) {
    CountingDelegate delegate;
    pollenring::Membership membership{
        MakeMember(0, 540), {}, clock, random, delegate};
    membership.Merge(*pollenring::Unpack<std::vector<Member>>(packed));
  }
  state.counters["bytes"] =
      benchmark::Counter(static_cast<double>(packed.size()));
}
BENCHMARK(BM_MembershipJoin)->Arg(100)->Arg(1000)->Arg(4000);

/*! @brief Finding what a peer holds otherwise, when one record differs. */
void BM_MembershipDiffer(benchmark::State &state) {
  ManualClock clock{std::chrono::hours{1}};
  SeededRandom random{1};
  CountingDelegate delegate;
  pollenring::Membership own{MakeMember(0, 540), {}, clock, random, delegate};
  const auto size = static_cast<std::size_t>(state.range(0));
  std::vector<Member> members;
  for (std::size_t i = 1; i < size; ++i) members.push_back(MakeMember(i, 540));
  own.Merge(members);
  auto theirs = own.Digests();
  theirs.front() ^= 1;
  std::size_t bytes = 0;
  for (auto _ : state) {
    bytes = pollenring::Pack(own.Differing(theirs)).size();
    benchmark::DoNotOptimize(bytes);
  }
  state.counters["bytes"] = benchmark::Counter(static_cast<double>(bytes));
}
BENCHMARK(BM_MembershipDiffer)->Arg(100)->Arg(1000)->Arg(4000);

/*! @brief One promise of a witness. */
void BM_WitnessPromise(benchmark::State &state) {
  ManualClock clock{std::chrono::hours{1}};
  pollenring::Witness witness{1, {}, clock};
  const auto slots = static_cast<pollenring::SlotId>(state.range(0));
  pollenring::WitnessQuery query;
  query.process = 1;
  query.epoch = pollenring::kEpochsPerRow;
  // Nodes and processes have numbers of 64 bits.
  const pollenring::ProcessRef other{~std::uint64_t{}, ~std::uint64_t{}};
  query.sender = other;
  query.sent_us = clock.Now().count();
  query.active_row = {{query.epoch, other, {5, other}}, 1, 1'800'000'000};
  pollenring::WitnessReply reply;
  for (auto _ : state) {
    query.slot = (query.slot + 1) % slots;
    reply = witness.HandleQuery(query);
    benchmark::DoNotOptimize(reply);
  }
  state.counters["ask_bytes"] =
      benchmark::Counter(static_cast<double>(pollenring::Pack(query).size()));
  state.counters["answer_bytes"] =
      benchmark::Counter(static_cast<double>(pollenring::Pack(reply).size()));
}
BENCHMARK(BM_WitnessPromise)->Arg(4)->Arg(64)->Arg(1024);

/*! @brief One change of configuration put into force. */
void BM_ConfigChange(benchmark::State &state) {
  pollenring::ConfigLedger ledger{[](std::uint64_t) {}};
  const auto keys = static_cast<std::uint64_t>(state.range(0));
  std::uint64_t version = 0;
  const auto change = [&] {
    pollenring::ConfigChange next;
    next.version = ++version;
    next.author = "bench";
    next.documents.push_back(
        {"key/" + pollenring::Sha256Hex(std::to_string(version % keys)), "",
         "workspace"});
    return next;
  };
  for (std::uint64_t i = 0; i < keys; ++i) ledger.Apply(change());
  for (auto _ : state) ledger.Apply(change());
  state.counters["bytes_per_change"] = benchmark::Counter(
      static_cast<double>(pollenring::Pack(change()).size()));
}
BENCHMARK(BM_ConfigChange)->Arg(100)->Arg(2000)->Arg(20000);

/*! @brief One identifier begun at its owner. */
void BM_OnceBegin(benchmark::State &state) {
  ManualClock clock{std::chrono::hours{1}};
  pollenring::OnceLedger ledger{pollenring::WallTime{0}, clock};
  const auto held = static_cast<std::uint64_t>(state.range(0));
  std::uint64_t id = 0;
  const auto begin = [&] {
    ++id;
    benchmark::DoNotOptimize(
        ledger.Begin(std::to_string(id), clock.WallNow(), id, clock.WallNow()));
  };
  for (std::uint64_t i = 0; i < held; ++i) begin();
  for (auto _ : state) begin();
}
BENCHMARK(BM_OnceBegin)->Arg(100)->Arg(10000)->Arg(100000);

/*! @brief Packing and unpacking a call between nodes. */
void BM_EnvelopeFrame(benchmark::State &state) {
  pollenring::CallEnvelope envelope;
  envelope.root_id = "01a23e17-f120-7738-8fc6-c2d2b9936849";
  envelope.workspace = WorkspaceName(7);
  envelope.service = "service-1";
  envelope.path = "/week";
  const std::string body(static_cast<std::size_t>(state.range(0)), 'x');
  for (auto _ : state) {
    benchmark::DoNotOptimize(pollenring::Unframe<pollenring::CallEnvelope>(
        pollenring::Frame(envelope, body)));
  }
}
BENCHMARK(BM_EnvelopeFrame)->Arg(100)->Arg(10000)->Arg(1000000);

}  // namespace

BENCHMARK_MAIN();
