#include "pollenring/node/target_dialect.h"

#include <catch2/catch.hpp>

namespace {

using pollenring::AnswerSigns;
using pollenring::JudgeAnswer;
using pollenring::Outcome;
using pollenring::Reason;

}  // namespace

TEST_CASE("target answers: only the target itself can say that nothing ran") {
  AnswerSigns signs;
  CHECK(JudgeAnswer(signs, 200).outcome == Outcome::kRan);
  CHECK(JudgeAnswer(signs, 500).outcome == Outcome::kRan);
  // A bare status would promise the caller what nobody has said.
  signs.implies_not_executed = true;
  CHECK(JudgeAnswer(signs, 503).outcome == Outcome::kUnknown);
  signs.not_run = true;
  CHECK(JudgeAnswer(signs, 503).outcome == Outcome::kNotRun);
  CHECK(JudgeAnswer(signs, 503).shed);
}

TEST_CASE(
    "target answers: a success that is not the target's is not passed on") {
  AnswerSigns signs;
  signs.genuine = false;
  CHECK(JudgeAnswer(signs, 200).reason == Reason::kTargetFailed);
  CHECK(JudgeAnswer(signs, 200).outcome == Outcome::kUnknown);
  // A failure is passed on as it is.
  CHECK(JudgeAnswer(signs, 500).reason == Reason::kNone);
  // Unless it may be a late one, to another call.
  signs.unnamed = true;
  CHECK(JudgeAnswer(signs, 500).outcome == Outcome::kUnknown);
  CHECK(JudgeAnswer(signs, 500).reason == Reason::kTargetFailed);
  signs.wrong_instance = true;
  CHECK(JudgeAnswer(signs, 421).outcome == Outcome::kNotRun);
  CHECK(JudgeAnswer(signs, 421).reason == Reason::kNoTarget);
}
