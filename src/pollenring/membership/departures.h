#ifndef POLLENRING_MEMBERSHIP_DEPARTURES_H_
#define POLLENRING_MEMBERSHIP_DEPARTURES_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <tuple>
#include <vector>

#include "pollenring/wire/forms.h"

namespace pollenring {

/*! @brief An instance of a target that drains or has deregistered. */
struct Departure {
  std::string instance;
  /*! @brief Start time in Unix ms, or an upper bound if the target did not
   * state it. */
  std::uint64_t started_at_ms{};
};

template <>
struct NumberedLayout<Departure> {
  static constexpr bool kGrows = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::make_tuple(Field{1, value.instance},
                           Field{2, value.started_at_ms});
  }
};

/**
 * @brief The latest departures of one node's targets.
 *
 * Holds one entry per identifier, with its latest start time, and at most
 * `kMaxEntries` of them, those that started last. Sets that received the same
 * departures are equal, whatever the order and however often.
 */
class Departures {
 public:
  /*! @brief A node has one target at a time, and a late heartbeat is seconds
   * old. */
  static constexpr std::size_t kMaxEntries = 4;

  /**
   * @brief Adds a departure.
   * @param departure The departure.
   * @return True if the set has changed.
   */
  bool Add(const Departure &departure);

  /**
   * @brief Adds all departures of another set.
   * @param other The other set.
   * @return True if this set has changed.
   */
  bool Merge(const Departures &other);

  /**
   * @brief Checks whether an instance has departed.
   * @param instance Identifier of the instance.
   * @param started_at_ms Its start time; 0 if unknown.
   * @return True if it, or a later start under its identifier, has departed.
   */
  [[nodiscard]] bool Covers(const std::string &instance,
                            std::uint64_t started_at_ms) const;

  /**
   * @brief Finds the departure of an identifier.
   * @param instance The identifier.
   * @return Its latest departure, or null.
   */
  [[nodiscard]] const Departure *Find(const std::string &instance) const;

  /**
   * @brief Checks whether another set would add anything.
   * @param other The other set.
   * @return True if merging it would not change this set.
   */
  [[nodiscard]] bool Includes(const Departures &other) const;

  /*! @brief The departures. @return Those that started last first. */
  [[nodiscard]] const std::vector<Departure> &Entries() const noexcept {
    return this->entries;
  }

 private:
  friend struct NumberedLayout<Departures>;

  std::vector<Departure> entries;
};

/*! @brief A received set may be out of order or too long; merge it into another
 * one. */
template <>
struct NumberedLayout<Departures> {
  static constexpr bool kGrows = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::make_tuple(Field{1, value.entries});
  }
};

/*! @brief What is known of the departures of a node's targets. */
struct DepartureRecord {
  Departures latest;
  /*! @brief Includes what earlier processes of the node acknowledged; false in
   * records of builds that don't report departures. */
  bool complete{};

  /**
   * @brief Adds what another record of the node knows.
   * @param other The other record.
   * @return True if this record has changed.
   */
  bool Merge(const DepartureRecord &other) {
    const bool completed = other.complete && !this->complete;
    if (completed) this->complete = true;
    return this->latest.Merge(other.latest) || completed;
  }
};

template <>
struct NumberedLayout<DepartureRecord> {
  static constexpr bool kGrows = true;
  template <typename Value>
  [[nodiscard]] static auto Fields(Value &value) {
    return std::make_tuple(Field{1, value.latest}, Field{2, value.complete});
  }
};

/*! @brief Copies of this node's departures at its peers. */
class DepartureReplicas {
 public:
  using Done = std::function<void(bool held)>;

  DepartureReplicas() = default;
  DepartureReplicas(const DepartureReplicas &) = delete;
  DepartureReplicas &operator=(const DepartureReplicas &) = delete;
  virtual ~DepartureReplicas() = default;

  /**
   * @brief Adds to the departures that this node announces.
   * @param record What is known of them.
   */
  virtual void Announce(const DepartureRecord &record) = 0;

  /**
   * @brief Sends the announced departures to peers.
   * @param done Called once: whether a peer has confirmed that it holds them.
   */
  virtual void Replicate(Done done) = 0;
};

}  // namespace pollenring

#endif  // POLLENRING_MEMBERSHIP_DEPARTURES_H_
