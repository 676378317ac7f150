#ifndef POLLENRING_CORE_RANDOM_H_
#define POLLENRING_CORE_RANDOM_H_

#include <cstdint>
#include <random>

namespace pollenring {

/*! @brief Source of randomness of all decisions. */
class Random {
 public:
  Random() = default;
  Random(const Random &) = delete;
  Random &operator=(const Random &) = delete;
  virtual ~Random() = default;

  /**
   * @brief Draws 64 uniform bits.
   * @return The bits.
   */
  [[nodiscard]] virtual std::uint64_t Bits() = 0;

  /**
   * @brief Draws an index.
   * @param size Number of choices, at least 1.
   * @return A value from 0 to size - 1.
   */
  [[nodiscard]] std::size_t Index(std::size_t size) {
    return static_cast<std::size_t>(this->Bits() % size);
  }

  /**
   * @brief Draws a fraction.
   * @return A value in [0, 1).
   */
  [[nodiscard]] double Fraction() {
    constexpr double kScale = 1.0 / 9007199254740992.0;
    return static_cast<double>(this->Bits() >> 11U) * kScale;
  }

  /**
   * @brief Draws a Boolean.
   * @param chance Probability of true.
   * @return True with the given probability.
   */
  [[nodiscard]] bool Chance(double chance) { return this->Fraction() < chance; }
};

/*! @brief Reproducible pseudo-random numbers from a seed. */
class SeededRandom final : public Random {
 public:
  /**
   * @brief Seeds the engine.
   * @param seed The seed.
   */
  explicit SeededRandom(std::uint64_t seed) : engine{seed} {}

  [[nodiscard]] std::uint64_t Bits() override { return this->engine(); }

 private:
  std::mt19937_64 engine;
};

}  // namespace pollenring

#endif  // POLLENRING_CORE_RANDOM_H_
