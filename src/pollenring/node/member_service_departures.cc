#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

#include "pollenring/node/member_service.h"

namespace pollenring {
namespace {

/*! @brief Peers asked to hold a copy; one may be about to fail. */
constexpr std::size_t kCopies = 2;
/*! @brief The target's heartbeat waits meanwhile. */
constexpr Duration kCopyTimeout = std::chrono::milliseconds{300};

/*! @brief Waits for the first peer that holds a copy, or until all have
 * replied. */
struct Replies {
  std::size_t open{};           /*!< Peers that have not replied. */
  DepartureReplicas::Done done; /*!< Empty once it was called. */

  /*! @brief Adds a reply. @param held Whether the peer holds the copy. */
  void Add(bool held) {
    --this->open;
    const bool decides = held || this->open == 0;
    if (decides && this->done) std::exchange(this->done, {})(held);
  }
};

}  // namespace

void MemberService::Announce(const DepartureRecord &record) {
  this->membership.AddDepartures(record);
}

void MemberService::Replicate(DepartureReplicas::Done done) {
  // Older builds never report complete departures, and would not keep them.
  std::vector<NodeId> peers;
  for (const auto &[id, member] : this->membership.Members()) {
    const bool keeps =
        member.state < MemberState::kSuspect && member.departures.complete;
    if (keeps) peers.push_back(id);
  }
  if (peers.empty()) {
    done(false);
    return;
  }
  const auto replies = std::make_shared<Replies>();
  replies->open = std::min(kCopies, peers.size());
  replies->done = std::move(done);
  const Member &self = this->membership.Self();
  const std::string body = Encode(std::vector{self}, kNewestWire);
  const std::size_t copies = replies->open;
  for (std::size_t i = 0; i < copies; ++i) {
    const std::size_t drawn = this->random.Index(peers.size());
    this->link.Call(
        AddressOf(peers[drawn]), kDeparturesPath, body, kCopyTimeout,
        [replies, sent = self.departures.latest](LinkClient::Reply reply) {
          const auto *text = std::get_if<std::string>(&reply);
          const auto held =
              text == nullptr ? std::nullopt : Unpack<DepartureRecord>(*text);
          replies->Add(held && held->latest.Includes(sent));
        });
    peers[drawn] = peers.back();
    peers.pop_back();
  }
}

std::string MemberService::ReplyToDepartures(const Address &from,
                                             const std::string &body) {
  const auto records = Decode<std::vector<Member>>(body);
  if (!records || records->value.empty()) {
    this->bus.Wire().unreadable.Note(
        {from, std::string{kDeparturesPath}, body.size(), {}});
    return {};
  }
  this->membership.Merge(records->value);
  const Member *sender = this->membership.Find(records->value.front().id);
  return Pack(sender == nullptr ? DepartureRecord{} : sender->departures);
}

}  // namespace pollenring
