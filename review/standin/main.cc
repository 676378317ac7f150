#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "clients.h"
#include "http.h"
#include "servers.h"

namespace {

using review::Endpoint;
using review::ParseEndpoint;

/*! @brief Options given as `--name value`. */
class Options {
 public:
  Options(int argc, char **argv) {
    for (int i = 2; i + 1 < argc; i += 2)
      this->values[std::string{argv[i]}.substr(2)] = argv[i + 1];
  }
  [[nodiscard]] std::string Text(const std::string &name) const {
    const auto found = this->values.find(name);
    return found == this->values.end() ? std::string{} : found->second;
  }
  [[nodiscard]] Endpoint At(const std::string &name) const {
    return ParseEndpoint(this->Text(name));
  }
  [[nodiscard]] int Number(const std::string &name, int fallback = 0) const {
    const std::string text = this->Text(name);
    return text.empty() ? fallback : std::stoi(text);
  }

 private:
  std::map<std::string, std::string> values;
};

std::string ReadFile(const std::string &path) {
  std::ifstream file{path};
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

int main(int argc, char **argv) {
  if (argc < 2) {
    std::cerr << "review-standin store|endpoint|await-ready|memory-limit|"
                 "downloads|uploads|pipelined ...\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const std::string role{argv[1]};
  const Options options{argc, argv};
  const review::Record record{options.Text("record")};
  if (role == "store")
    review::ServeStore(options.At("listen"), ReadFile(options.Text("config")));
  if (role == "endpoint") {
    const review::ServerOptions server{
        options.At("listen"),         options.At("control"),
        options.Text("service"),      options.Text("id"),
        options.Text("zone"),         options.Number("slots", 64),
        options.Number("work-ms", 20)};
    review::ServeEndpoint(server, record);
  }
  if (role == "await-ready")
    return review::AwaitReady(options.At("ready"), options.Number("within-ms"));
  if (role == "memory-limit")
    return review::EnforceMemory(options.Number("pid"), options.Number("mb"),
                                 record);
  if (role == "downloads") {
    review::Downloads downloads;
    downloads.node = options.At("node");
    downloads.host = options.Text("host");
    downloads.path = options.Text("path");
    downloads.key = options.Text("key");
    downloads.prefix = options.Text("prefix");
    downloads.bytes = static_cast<std::size_t>(options.Number("bytes"));
    downloads.count = options.Number("count", 1);
    downloads.stagger_ms = options.Number("stagger-ms");
    downloads.deadline_ms = options.Number("deadline-ms", 5000);
    downloads.bytes_per_ms = options.Number("bytes-per-ms");
    downloads.kept = options.Number("kept") != 0;
    return review::RunDownloads(downloads, record);
  }
  if (role == "uploads") {
    review::Uploads uploads;
    uploads.node = options.At("node");
    uploads.host = options.Text("host");
    uploads.path = options.Text("path");
    uploads.prefix = options.Text("prefix");
    uploads.bytes = static_cast<std::size_t>(options.Number("bytes"));
    uploads.count = options.Number("count", 1);
    uploads.first = options.Number("first");
    uploads.pause_ms = options.Number("pause-ms");
    uploads.stagger_ms = options.Number("stagger-ms");
    uploads.deadline_ms = options.Number("deadline-ms", 5000);
    return review::RunUploads(uploads, record);
  }
  if (role == "pipelined") {
    review::Pipelined pipelined;
    pipelined.node = options.At("node");
    pipelined.host = options.Text("host");
    pipelined.path = options.Text("path");
    pipelined.prefix = options.Text("prefix");
    pipelined.count = options.Number("count", 1);
    pipelined.deadline_ms = options.Number("deadline-ms", 5000);
    pipelined.slack_ms = options.Number("slack-ms", 200);
    return review::RunPipelined(pipelined, record);
  }
  std::cerr << "unknown role " << role << '\n';
  return 2;
}
