#include "pollenring/node/describe_connections.h"

#include <nlohmann/json.hpp>
#include <system_error>

#include "pollenring/metrics/metrics.h"
#include "pollenring/net/buffer_budget.h"
#include "pollenring/net/loop.h"

namespace pollenring {
namespace {

[[nodiscard]] double Seconds(Duration duration) {
  return std::chrono::duration<double>{duration}.count();
}

[[nodiscard]] std::uint64_t FailuresOf(const ConnectionCounts &counts) {
  std::uint64_t failures = 0;
  for (const auto &[error, count] : counts.failures) failures += count;
  return failures;
}

}  // namespace

void RegisterConnectionMetrics(Metrics &metrics, Loop &loop) {
  const ConnectionTable &table = loop.Connections();
  for (const auto &row : kConnectionRoleNames.rows) {
    const MetricLabel label{"role", std::string{row.name}};
    const ConnectionCounts &counts = table.Counts(row.value);
    metrics.Gauge(
        "pollenring_connections_open",
        [&counts] { return static_cast<double>(counts.open); }, label);
    metrics.Gauge(
        "pollenring_connections_peak",
        [&counts] { return static_cast<double>(counts.peak); }, label);
    metrics.Gauge(
        "pollenring_connections_opened",
        [&counts] { return static_cast<double>(counts.opened); }, label);
    metrics.Gauge(
        "pollenring_connections_evicted",
        [&counts] { return static_cast<double>(counts.evicted); }, label);
    metrics.Gauge(
        "pollenring_connections_refused",
        [&counts] { return static_cast<double>(counts.refused); }, label);
    metrics.Gauge(
        "pollenring_connections_failed",
        [&counts] { return static_cast<double>(FailuresOf(counts)); }, label);
    metrics.Gauge(
        "pollenring_longest_accept_wait_seconds",
        [&counts] { return Seconds(counts.longest_wait); }, label);
  }
  metrics.Gauge("pollenring_longest_turn_seconds",
                [&loop] { return Seconds(loop.Longest().length); });
}

nlohmann::json DescribeConnections(Loop &loop) {
  nlohmann::json roles = nlohmann::json::object();
  for (const auto &row : kConnectionRoleNames.rows) {
    const ConnectionCounts &counts = loop.Connections().Counts(row.value);
    nlohmann::json failures = nlohmann::json::object();
    for (const auto &[error, count] : counts.failures) {
      failures[std::generic_category().message(error)] = count;
    }
    roles[std::string{row.name}] = {
        {"open", counts.open},
        {"peak", counts.peak},
        {"opened", counts.opened},
        {"capacity", loop.Connections().Capacity(row.value)},
        {"evicted", counts.evicted},
        {"refused", counts.refused},
        {"longest_accept_wait_s", Seconds(counts.longest_wait)},
        {"failures", std::move(failures)}};
  }
  return {{"roles", std::move(roles)},
          {"longest_turn_s", Seconds(loop.Longest().length)},
          {"longest_turn_event", loop.Longest().event}};
}

void RegisterBufferMetrics(Metrics &metrics, const BufferBudget &budget) {
  const BufferCounts &counts = budget.Counts();
  for (const auto &row : kBufferRoleNames.rows) {
    const std::size_t &bytes =
        counts.bytes[static_cast<std::size_t>(row.value)];
    metrics.Gauge("pollenring_buffer_bytes",
                  [&bytes] { return static_cast<double>(bytes); },
                  {"role", std::string{row.name}});
  }
  for (const auto &row : kEvictionReasonNames.rows) {
    const std::uint64_t &evicted =
        counts.evicted[static_cast<std::size_t>(row.value)];
    metrics.Gauge("pollenring_buffer_evictions",
                  [&evicted] { return static_cast<double>(evicted); },
                  {"reason", std::string{row.name}});
  }
  metrics.Gauge("pollenring_buffer_bytes_peak",
                [&counts] { return static_cast<double>(counts.peak); });
  metrics.Gauge("pollenring_buffer_paused",
                [&counts] { return static_cast<double>(counts.paused); });
  metrics.Gauge("pollenring_buffer_refusals",
                [&counts] { return static_cast<double>(counts.refused); });
}

nlohmann::json DescribeBuffers(const BufferBudget &budget) {
  const BufferCounts &counts = budget.Counts();
  nlohmann::json roles = nlohmann::json::object();
  for (const auto &row : kBufferRoleNames.rows) {
    roles[std::string{row.name}] =
        counts.bytes[static_cast<std::size_t>(row.value)];
  }
  nlohmann::json evicted = nlohmann::json::object();
  for (const auto &row : kEvictionReasonNames.rows) {
    evicted[std::string{row.name}] =
        counts.evicted[static_cast<std::size_t>(row.value)];
  }
  return {{"bytes", std::move(roles)},     {"total", counts.total},
          {"peak", counts.peak},           {"max", budget.MaxBytes()},
          {"paused", counts.paused},       {"pauses", counts.pauses},
          {"evicted", std::move(evicted)}, {"refused", counts.refused}};
}

}  // namespace pollenring
