#ifndef POLLENRING_TEST_SUPPORT_STREAM_H_
#define POLLENRING_TEST_SUPPORT_STREAM_H_

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "support/cluster.h"

namespace support {

/*! @brief Starts the graph of six nodes and publishes its contracts. */
inline void Prepare(Cluster &cluster) {
  StartGraph(cluster);
  REQUIRE(cluster.AwaitReady({1, 2, 3, 4, 5, 6}, 6));
  REQUIRE(cluster.Publish(1, GraphDocuments()) == 200);
}

/*! @brief Requests in the background, at a steady pace. */
class Stream {
 public:
  Stream(Cluster &cluster, std::vector<int> nodes, std::string key,
         std::chrono::milliseconds interval)
      : cluster{cluster},
        nodes{std::move(nodes)},
        key{std::move(key)},
        interval{interval} {
    this->Next();
  }

  void Stop() {
    this->stopped = true;
    const bool ended = this->cluster.Await(
        [this] { return this->pending == 0; }, std::chrono::seconds{20});
    REQUIRE(ended);
  }

  std::map<std::string, int> results;
  int good{};
  int bad{};

 private:
  void Next() {
    if (this->stopped) return;
    this->Try(3);
    this->cluster.loop.After(this->interval, [this] { this->Next(); });
  }

  void Try(int connects_left) {
    const int node = this->nodes[this->next_node++ % this->nodes.size()];
    ++this->pending;
    this->cluster.client.Call(
        this->cluster.Callers(node),
        {"GET", "/front/week", {{"pollenring-key", this->key}}, {}},
        std::chrono::seconds{6},
        [this, connects_left](pollenring::HttpClient::Reply reply) {
          --this->pending;
          if (const auto *response =
                  std::get_if<pollenring::HttpResponse>(&reply)) {
            (response->status == 200 ? this->good : this->bad) += 1;
            const auto reason =
                pollenring::FindHeader(response->headers, "pollenring-reason");
            ++this->results[std::to_string(response->status) + ' ' +
                            std::string{reason}];
            return;
          }
          const auto error = std::get<pollenring::CallError>(reply);
          // A node that has left refuses connections: callers take the next.
          if (pollenring::WasNotSent(error) && connects_left > 0) {
            this->Try(connects_left - 1);
            return;
          }
          ++this->bad;
          ++this->results[std::string{pollenring::kCallErrorNames.Name(error)}];
        });
  }

  Cluster &cluster;
  std::vector<int> nodes;
  std::string key;
  std::chrono::milliseconds interval;
  std::size_t next_node{};
  int pending{};
  bool stopped{};
};

/*! @brief Results as text. @param results Counts by answer. @return It. */
[[nodiscard]] inline std::string Describe(
    const std::map<std::string, int> &results) {
  std::string text;
  for (const auto &[what, count] : results) {
    text += what + ": " + std::to_string(count) + "; ";
  }
  return text;
}

}  // namespace support

#endif  // POLLENRING_TEST_SUPPORT_STREAM_H_
