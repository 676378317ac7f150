#include "pollenring/admission/soft_deadline_queue.h"

#include <catch2/catch.hpp>

namespace {

using namespace std::chrono_literals;
using pollenring::AdmissionRequest;
using pollenring::Importance;
using pollenring::SoftDeadlineQueue;

[[nodiscard]] AdmissionRequest Waiting(std::uint64_t id,
                                       pollenring::Time soft_deadline,
                                       Importance importance, int depth) {
  AdmissionRequest ticket;
  ticket.id = id;
  ticket.soft_deadline = soft_deadline;
  ticket.deadline = soft_deadline + 1s;
  ticket.importance = importance;
  ticket.depth = depth;
  return ticket;
}

}  // namespace

TEST_CASE("aim queue: a short request passes those that have time") {
  SoftDeadlineQueue queue;
  queue.Push(Waiting(1, 300ms, Importance::kHigh, 2));
  queue.Push(Waiting(2, 320ms, Importance::kLow, 2));
  queue.Push(Waiting(3, 120ms, Importance::kNormal, 0));
  CHECK(queue.Pop()->id == 3);
  CHECK(queue.Pop()->id == 1);
  CHECK(queue.Pop()->id == 2);
  CHECK_FALSE(queue.Pop());
}

TEST_CASE("aim queue: calls for requests let in above are shed last") {
  SoftDeadlineQueue queue;
  queue.Push(Waiting(1, 100ms, Importance::kLow, 1));
  queue.Push(Waiting(2, 100ms, Importance::kHigh, 0));
  queue.Push(Waiting(3, 100ms, Importance::kLow, 0));
  queue.Push(Waiting(4, 200ms, Importance::kLow, 0));
  CHECK(queue.Lowest() == Importance::kLow);
  CHECK(queue.PopWorst()->id == 4);
  CHECK(queue.PopWorst()->id == 3);
  CHECK(queue.PopWorst()->id == 2);
  CHECK(queue.Lowest() == Importance::kCritical);
  CHECK(queue.PopWorst()->id == 1);
}

TEST_CASE("aim queue: what can't end in time leaves at once") {
  SoftDeadlineQueue queue;
  queue.Push(Waiting(1, 100ms, Importance::kLow, 0));
  queue.Push(Waiting(2, 900ms, Importance::kLow, 0));
  const auto expired = queue.RemoveExpired(1200ms);
  REQUIRE(expired.size() == 1);
  CHECK(expired.front().id == 1);
  CHECK(queue.Size() == 1);
  CHECK_FALSE(queue.Remove(1));
}
