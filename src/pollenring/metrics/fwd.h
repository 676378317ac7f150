#ifndef POLLENRING_METRICS_FWD_H_
#define POLLENRING_METRICS_FWD_H_

namespace pollenring {

class Metrics;
class Summary;
struct MetricLabel;

}  // namespace pollenring

#endif  // POLLENRING_METRICS_FWD_H_
