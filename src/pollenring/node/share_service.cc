#include "pollenring/node/share_service.h"

#include <algorithm>
#include <utility>

#include "pollenring/share/slots_of.h"

namespace pollenring {
namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds{10};

}  // namespace

ShareService::ShareService(Loop &loop, Bus &bus, const SlotHolders &holders,
                           const WorkspaceRates &rates, std::uint64_t process)
    : loop{loop},
      bus{bus},
      holders{holders},
      rates{rates},
      borrower{process, holders.Count(), LeaseOptions{}, loop.GetClock(),
               *this} {}

void ShareService::Start() {
  this->bus.On<BorrowRequest>(
      MessageKind::kBorrow,
      [this](NodeId from, const BorrowRequest &request, WireVersion version) {
        const BorrowReply reply = this->Lend(request);
        // Nobody waits for a word on what is only returned.
        if (request.want == 0) return;
        this->bus.Send(from, MessageKind::kLend, reply, version);
      });
  this->bus.On<BorrowReply>(MessageKind::kLend,
                            [this](NodeId /*from*/, const BorrowReply &reply) {
                              this->borrower.HandleReply(reply);
                            });
  this->loop.Every(kTickPeriod, [this] { this->borrower.Tick(); });
}

void ShareService::Charge(const std::string &workspace, WaitLimit wait_limit,
                          Done done) {
  this->borrower.Charge(
      workspace, wait_limit,
      [done = std::move(done)](const ChargeResult &result) {
        done({result.granted, result.reason, result.retry_after});
      });
}

bool ShareService::SendBorrow(const BorrowRequest &request) {
  const auto holder = this->holders.HolderOf(request.slot);
  if (!holder) return false;
  if (this->holders.Holds(request.slot)) {
    this->loop.Post([this, reply = this->Lend(request)] {
      this->borrower.HandleReply(reply);
    });
    return true;
  }
  this->bus.Send(*holder, MessageKind::kBorrow, request);
  return true;
}

BorrowReply ShareService::Lend(const BorrowRequest &request) {
  BorrowReply refusal;
  refusal.slot = request.slot;
  refusal.workspace = request.workspace;
  refusal.loan = request.loan;
  const auto lender = this->lenders.find(request.slot);
  auto limit = this->rates.RateOf(request.workspace);
  if (lender == this->lenders.end() || !limit) return refusal;
  const auto part =
      PartOf(request.workspace, request.slot, this->holders.Count());
  if (!part) return refusal;
  limit->rate *= this->holders.LendableFraction();
  limit->burst *= this->holders.LendableFraction();
  const Time valid_until = this->holders.ValidUntil(request.slot);
  return lender->second.Lend(request, *limit, *part, valid_until);
}

void ShareService::SlotGained(SlotId slot, const SlotRow &row,
                              SlotOrigin origin, const SlotRow &before) {
  const bool first = origin == SlotOrigin::kTakenOver && before.epoch == 0;
  this->lenders.erase(slot);
  const auto added =
      this->lenders.emplace(slot, ShareLender{first, this->loop.GetClock()});
  const auto found = this->handovers.find(slot);
  if (found == this->handovers.end()) return;
  if (found->second.Precedes(row, before)) {
    added.first->second.Inherit(found->second.buckets);
  }
  this->handovers.erase(found);
}

void ShareService::SlotWitnessesChanged(SlotId /*slot*/,
                                        const SlotRow & /*row*/) {}

void ShareService::SlotHandedOver(SlotId /*slot*/, const SlotRow & /*row*/,
                                  const ProcessRef & /*successor*/) {}

void ShareService::SlotLost(SlotId slot) { this->lenders.erase(slot); }

std::map<std::string, BucketState> ShareService::BucketsOf(SlotId slot) {
  const auto lender = this->lenders.find(slot);
  if (lender == this->lenders.end()) return {};
  return lender->second.Contents();
}

void ShareService::StoreHandover(const Handover &handover) {
  this->handovers[handover.slot] = handover;
}

}  // namespace pollenring
