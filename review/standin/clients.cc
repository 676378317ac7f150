#include "clients.h"

#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cctype>
#include <csignal>
#include <cstdint>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

namespace review {
namespace {

/*! @brief Size of a slow client's receive buffer. */
constexpr int kSlowReceiveBuffer = 64 * 1024;
constexpr int kReadIntervalMs = 20;

enum class Ending { kComplete, kCut, kOther };

/*! @brief Reads the length that a message's head states; 0 if it has none. */
std::size_t ContentLength(std::string head) {
  std::transform(head.begin(), head.end(), head.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  const auto at = head.find("content-length:");
  return at == std::string::npos ? 0 : std::stoul(head.substr(at + 15));
}

/*! @brief Formats the request of a download. */
std::string DownloadRequest(const Downloads &what, const std::string &id,
                            std::size_t bytes) {
  std::string request =
      "GET " + what.path + "?bytes=" + std::to_string(bytes) +
      " HTTP/1.1\r\nHost: " + what.host + "\r\nX-Pollenring-Attempt-Id: " + id +
      "\r\nX-Pollenring-Deadline-Ms: " + std::to_string(what.deadline_ms) +
      "\r\n";
  if (!what.key.empty()) request += "Authorization: Token " + what.key + "\r\n";
  return request + "\r\n";
}

/*! @brief Connects for a download; a kept connection gets a small answer first.
 * @return The socket, or -1. */
int ConnectForDownload(const Downloads &what, const std::string &id) {
  constexpr std::size_t kFirstBytes = 100;
  const int fd =
      Connect(what.node, what.bytes_per_ms > 0 ? kSlowReceiveBuffer : 0);
  if (fd < 0 || !what.kept) return fd;
  const timeval timeout{5, 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  WriteAll(fd, DownloadRequest(what, id + "-first", kFirstBytes));
  const auto response = Reader{fd}.Next();
  if (response && response->first.find(" 200") != std::string::npos) return fd;
  close(fd);
  return -1;
}

/*! @brief Runs one download. @param id Its attempt identifier.
 * @param fd The connection. */
Ending Download(const Downloads &what, const std::string &id, int fd,
                const Record &record) {
  const bool slow = what.bytes_per_ms > 0;
  if (fd < 0) {
    record.Line("client " + id + " can't connect");
    return Ending::kOther;
  }
  const timeval timeout{what.deadline_ms / 1000 + 1, 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  const std::int64_t started = NowMs();
  WriteAll(fd, DownloadRequest(what, id, what.bytes));
  record.Line("client " + id + " sent " + what.path);
  std::string received;
  std::size_t head = std::string::npos;
  std::size_t expected = 0;
  std::int64_t answered = 0;
  std::vector<char> bytes(
      slow ? static_cast<std::size_t>(what.bytes_per_ms * kReadIntervalMs)
           : std::size_t{1} << 20U);
  for (;;) {
    const auto size = recv(fd, bytes.data(), bytes.size(), 0);
    if (size <= 0) break;
    received.append(bytes.data(), static_cast<std::size_t>(size));
    if (head == std::string::npos) {
      head = received.find("\r\n\r\n");
      if (head != std::string::npos) {
        answered = NowMs();
        expected = ContentLength(received.substr(0, head)) + head + 4;
        record.Line("client " + id + " got " +
                    received.substr(0, received.find("\r\n")) + " after " +
                    std::to_string(NowMs() - started) + " ms");
      }
    }
    if (head != std::string::npos && received.size() >= expected) break;
    if (!slow || head == std::string::npos) continue;
    const auto due =
        static_cast<std::int64_t>(received.size()) / what.bytes_per_ms;
    SleepMs(std::max<std::int64_t>(0, answered + due - NowMs()));
  }
  close(fd);
  const std::int64_t took = NowMs() - started;
  const std::string spent = " after " + std::to_string(took) + " ms, " +
                            std::to_string(received.size()) + " of " +
                            std::to_string(expected) + " bytes";
  const bool success = received.compare(0, 12, "HTTP/1.1 200") == 0;
  if (success && received.size() >= expected &&
      expected >= what.bytes + head + 4) {
    record.Line("client " + id + " has its whole answer" + spent);
    return Ending::kComplete;
  }
  if (!success && head != std::string::npos) {
    record.Line("client " + id + " was refused" + spent);
    return Ending::kOther;
  }
  if (took >= what.deadline_ms) {
    record.Line("client " + id + " reached its deadline" + spent);
    return Ending::kOther;
  }
  record.Line("client " + id + " LOST: connection ended" + spent);
  return Ending::kCut;
}

/*! @brief Opens a connection and gets a first answer on it. @return The socket,
 * or -1. */
int ConnectKept(const Endpoint &node, const std::string &host,
                const std::string &path, const std::string &id) {
  const int fd = Connect(node);
  if (fd < 0) return -1;
  const timeval timeout{5, 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  Reader reader{fd};
  WriteAll(fd, "POST " + path + " HTTP/1.1\r\nHost: " + host +
                   "\r\nX-Pollenring-Attempt-Id: " + id +
                   "-first\r\nX-Pollenring-Deadline-Ms: 2000\r\n"
                   "Content-Length: 2\r\n\r\nok");
  if (reader.Next()) return fd;
  close(fd);
  return -1;
}

/*! @brief Runs one upload on a kept connection. */
Ending Upload(const Uploads &what, const std::string &id, int fd,
              const Record &record) {
  const timeval timeout{what.deadline_ms / 1000 + 1, 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  const std::int64_t started = NowMs();
  const bool sent = WriteAll(
      fd,
      "POST " + what.path + " HTTP/1.1\r\nHost: " + what.host +
          "\r\nX-Pollenring-Attempt-Id: " + id +
          "\r\nX-Pollenring-Deadline-Ms: " + std::to_string(what.deadline_ms) +
          "\r\nContent-Length: " + std::to_string(what.bytes) + "\r\n\r\n" +
          std::string(what.bytes, 'u'));
  record.Line("client " + id + (sent ? " sent " : " could not send ") +
              std::to_string(what.bytes) + " bytes");
  const auto response = Reader{fd}.Next();
  close(fd);
  const std::string spent =
      " after " + std::to_string(NowMs() - started) + " ms";
  if (response) {
    record.Line("client " + id + " got " + response->first + spent);
    const bool success = response->first.find(" 200") != std::string::npos;
    return success ? Ending::kComplete : Ending::kOther;
  }
  if (!sent) return Ending::kOther;
  record.Line("client " + id + " LOST: connection ended" + spent);
  return Ending::kCut;
}

}  // namespace

int AwaitReady(const Endpoint &ready, int within_ms) {
  const std::int64_t until = NowMs() + within_ms;
  while (NowMs() < until) {
    const auto response =
        Ask(ready, "GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n", 500);
    if (response && response->first.find(" 200") != std::string::npos) return 0;
    SleepMs(50);
  }
  return 2;
}

int EnforceMemory(int pid, int mb, const Record &record) {
  constexpr std::int64_t kKbPerMb = 1024;
  std::int64_t peak = 0;
  for (std::int64_t i = 0;; ++i) {
    std::ifstream status{"/proc/" + std::to_string(pid) + "/status"};
    std::int64_t resident = -1;
    for (std::string line; std::getline(status, line);) {
      if (line.compare(0, 6, "VmRSS:") == 0)
        resident = std::stoll(line.substr(6)) / kKbPerMb;
    }
    if (resident < 0) return 0;
    peak = std::max(peak, resident);
    if (i % 50 == 0)
      record.Line("platform: process " + std::to_string(pid) + " holds " +
                  std::to_string(resident) + " MB, at most " +
                  std::to_string(peak));
    if (resident > mb) {
      record.Line("platform: process " + std::to_string(pid) + " holds " +
                  std::to_string(resident) + " MB, over its limit of " +
                  std::to_string(mb) + ": killed");
      kill(pid, SIGKILL);
      return 0;
    }
    SleepMs(20);
  }
}

int RunDownloads(const Downloads &downloads, const Record &record) {
  std::atomic<int> cut{0};
  std::atomic<int> other{0};
  std::vector<int> kept(
      downloads.kept ? static_cast<std::size_t>(downloads.count) : 0, -1);
  std::vector<std::thread> connecting;
  for (std::size_t i = 0; i < kept.size(); ++i) {
    connecting.emplace_back([&, i] {
      SleepMs(static_cast<std::int64_t>(i) * downloads.stagger_ms);
      kept[i] =
          ConnectForDownload(downloads, downloads.prefix + std::to_string(i));
    });
  }
  for (auto &thread : connecting) thread.join();
  if (std::count(kept.begin(), kept.end(), -1) > 0) return 2;
  std::vector<std::thread> clients;
  for (int i = 0; i < downloads.count; ++i) {
    clients.emplace_back([&, i] {
      SleepMs(static_cast<std::int64_t>(i) * downloads.stagger_ms);
      const std::string id = downloads.prefix + std::to_string(i);
      const int fd = downloads.kept ? kept[static_cast<std::size_t>(i)]
                                    : ConnectForDownload(downloads, id);
      const Ending ending = Download(downloads, id, fd, record);
      if (ending == Ending::kCut) ++cut;
      if (ending == Ending::kOther) ++other;
    });
  }
  for (auto &client : clients) client.join();
  if (cut > 0) return 1;
  return other > 0 ? 2 : 0;
}

int RunPipelined(const Pipelined &pipelined, const Record &record) {
  std::atomic<int> lost{0};
  std::atomic<int> other{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < pipelined.count; ++i) {
    clients.emplace_back([&, i] {
      const int fd = Connect(pipelined.node);
      if (fd < 0) {
        ++other;
        return;
      }
      const timeval timeout{pipelined.deadline_ms / 1000 + 1, 0};
      setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
      std::string requests;
      std::vector<std::string> ids;
      for (const char *suffix : {"a", "b"}) {
        ids.push_back(pipelined.prefix + std::to_string(i) + suffix);
        requests += "GET " + pipelined.path +
                    " HTTP/1.1\r\nHost: " + pipelined.host +
                    "\r\nX-Pollenring-Attempt-Id: " + ids.back() +
                    "\r\nX-Pollenring-Deadline-Ms: " +
                    std::to_string(pipelined.deadline_ms) + "\r\n\r\n";
      }
      WriteAll(fd, requests);
      const std::int64_t sent = NowMs();
      record.Line("client sent " + ids[0] + " and " + ids[1]);
      Reader reader{fd};
      for (const std::string &id : ids) {
        const auto response = reader.Next();
        const std::int64_t took = NowMs() - sent;
        if (response) {
          record.Line("client got " + response->first + " for " + id +
                      " after " + std::to_string(took) +
                      " ms, Connection: " + response->Header("connection"));
          continue;
        }
        const bool late =
            took > pipelined.slack_ms && took < pipelined.deadline_ms;
        (late ? lost : other).fetch_add(1);
        record.Line("client " + id + (late ? " LOST" : "") +
                    ": connection ended after " + std::to_string(took) +
                    " ms without an answer");
        break;
      }
      close(fd);
    });
  }
  for (auto &client : clients) client.join();
  record.Line("clients: " + std::to_string(lost) + " lost");
  if (lost > 0) return 1;
  return other > 0 ? 2 : 0;
}

int RunUploads(const Uploads &uploads, const Record &record) {
  constexpr int kAllowed = 3;
  std::vector<int> sockets;
  for (int i = 0; i < uploads.count; ++i) {
    const std::string id = uploads.prefix + std::to_string(i);
    sockets.push_back(
        ConnectKept(uploads.node, uploads.host, uploads.path, id));
    if (sockets.back() < 0) return 2;
  }
  std::atomic<int> cut{0};
  std::atomic<int> refused{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < uploads.count; ++i) {
    clients.emplace_back([&, i] {
      const int pause = i < uploads.first ? 0 : uploads.pause_ms;
      SleepMs(static_cast<std::int64_t>(i) * uploads.stagger_ms + pause);
      const Ending ending =
          Upload(uploads, uploads.prefix + std::to_string(i),
                 sockets[static_cast<std::size_t>(i)], record);
      if (ending == Ending::kCut) ++cut;
      if (ending == Ending::kOther) ++refused;
    });
  }
  for (auto &client : clients) client.join();
  record.Line("clients: " + std::to_string(cut) + " lost, " +
              std::to_string(refused) + " refused or failed");
  return cut > kAllowed ? 1 : 0;
}

}  // namespace review
