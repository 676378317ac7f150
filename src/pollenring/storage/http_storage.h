#ifndef POLLENRING_STORAGE_HTTP_STORAGE_H_
#define POLLENRING_STORAGE_HTTP_STORAGE_H_

#include <string>
#include <vector>

#include "pollenring/net/address.h"
#include "pollenring/net/http_client.h"
#include "pollenring/storage/storage.h"

namespace pollenring {

/*! @brief Client of the platform's table, over HTTP with JSON bodies. */
class HttpTable final : public Table {
 public:
  /**
   * @brief Creates a client of a table.
   * @param client HTTP client.
   * @param address The platform's address.
   */
  HttpTable(HttpClient &client, const Address &address)
      : client{client}, address{address} {}

  void Read(const std::vector<std::string> &keys,
            std::function<void(Rows)> done) override;
  void List(const std::string &prefix, std::function<void(Rows)> done) override;
  void Write(const std::vector<RowCondition> &conditions,
             const std::vector<RowPut> &puts,
             std::function<void(Written)> done) override;

 private:
  void FetchRows(const std::string &path, std::string body,
                 std::function<void(Rows)> done);

  HttpClient &client;
  Address address;
};

/*! @brief Client of the platform's object store, over HTTP. */
class HttpObjectStore final : public ObjectStore {
 public:
  /**
   * @brief Creates a client of an object store.
   * @param client HTTP client.
   * @param address The platform's address.
   */
  HttpObjectStore(HttpClient &client, const Address &address)
      : client{client}, address{address} {}

  void Put(const std::string &name, std::string content,
           std::function<void(Stored)> done) override;
  void Get(const std::string &name, std::function<void(Object)> done) override;

 private:
  HttpClient &client;
  Address address;
};

}  // namespace pollenring

#endif  // POLLENRING_STORAGE_HTTP_STORAGE_H_
