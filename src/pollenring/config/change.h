#ifndef POLLENRING_CONFIG_CHANGE_H_
#define POLLENRING_CONFIG_CHANGE_H_

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

#include "pollenring/contract/json.h"

namespace pollenring {

/*! @brief A document that a change replaces; an empty text removes it. */
struct DocumentChange {
  std::string name;
  std::string before;
  std::string after;
  MSGPACK_DEFINE(name, before, after)
};

/*! @brief One version of the configuration: who changed what, and when. */
struct ConfigChange {
  std::uint64_t version{};
  std::string nonce; /*!< Identifies a write whose reply was lost. */
  std::string author;
  std::int64_t wall_ms{};
  std::vector<DocumentChange> documents;
  MSGPACK_DEFINE(version, nonce, author, wall_ms, documents)

  /*! @brief Serializes for the table. @return JSON text. */
  [[nodiscard]] std::string ToJson() const;

  /**
   * @brief Parses the output of `ToJson`.
   * @param text JSON text.
   * @return The change, or nothing when the text is malformed.
   */
  [[nodiscard]] static std::optional<ConfigChange> FromJson(
      const std::string &text);
};

/*! @brief All documents at one version. */
struct ConfigSnapshot {
  std::uint64_t version{};
  Documents documents;
  MSGPACK_DEFINE(version, documents)

  /*! @brief Serializes for the object store. @return JSON text. */
  [[nodiscard]] std::string ToJson() const;

  /**
   * @brief Parses the output of `ToJson`.
   * @param text JSON text.
   * @return The snapshot, or nothing when the text is malformed.
   */
  [[nodiscard]] static std::optional<ConfigSnapshot> FromJson(
      const std::string &text);
};

/**
 * @brief Lists the changes that turn one set of documents into another.
 * @param before The current documents.
 * @param after The desired documents.
 * @param prefixes Only names with one of these prefixes may be removed.
 * @return The changes, by name.
 */
[[nodiscard]] std::vector<DocumentChange> DiffDocuments(
    const Documents &before, const Documents &after,
    const std::vector<std::string> &prefixes);

}  // namespace pollenring

#endif  // POLLENRING_CONFIG_CHANGE_H_
