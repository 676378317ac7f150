#include <iostream>

#include "pollenring/admission/admission.h"
#include "pollenring/core/clock.h"

// Admission in a program of one's own: no daemon, no socket, a clock that the
// program moves. Prints what is started and what is shed.
int main() {
  pollenring::ManualClock clock;
  pollenring::Admission admission{2, {}, clock};
  for (std::uint64_t id = 1; id <= 10; ++id) {
    pollenring::AdmissionRequest request;
    request.id = id;
    request.workspace = "club";
    request.importance = id % 5 == 0 ? pollenring::Importance::kCritical
                                     : pollenring::Importance::kLow;
    request.deadline = clock.Now() + std::chrono::seconds{1};
    const auto actions = admission.Offer(request);
    for (const auto started_id : actions.start) {
      std::cout << "start " << started_id << '\n';
    }
    for (const auto &shed : actions.shed) {
      std::cout << "shed " << shed.id << ": "
                << pollenring::kReasonNames.Name(shed.reason) << '\n';
    }
  }
  return 0;
}
