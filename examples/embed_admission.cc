#include <iostream>

#include "pollenring/admission/admission.h"
#include "pollenring/core/clock.h"

// Embeds admission control in a program without daemon or sockets, on a manual
// clock. Prints which requests are started and which are shed.
int main() {
  pollenring::ManualClock clock;
  pollenring::Admission admission{2, {}, clock};
  for (std::uint64_t id = 1; id <= 10; ++id) {
    pollenring::AdmissionRequest ticket;
    ticket.id = id;
    ticket.workspace = "club";
    ticket.importance = id % 5 == 0 ? pollenring::Importance::kCritical
                                    : pollenring::Importance::kLow;
    ticket.deadline = clock.Now() + std::chrono::seconds{1};
    const auto actions = admission.Offer(ticket);
    for (const auto started : actions.start) {
      std::cout << "start " << started << '\n';
    }
    for (const auto &shed : actions.shed) {
      std::cout << "shed " << shed.id << ": "
                << pollenring::kReasonNames.Name(shed.reason) << '\n';
    }
  }
  return 0;
}
