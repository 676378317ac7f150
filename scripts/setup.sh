#!/usr/bin/env bash
# Installs build and test dependencies from the distribution's packages.
set -euo pipefail
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
  g++ cmake ninja-build pkg-config clang-format clang-tidy \
  libh2o-evloop-dev libnghttp2-dev libwslay-dev zlib1g-dev libssl-dev \
  libhttp-parser-dev libtomlplusplus-dev libcxxopts-dev libspdlog-dev libfmt-dev catch2 \
  libboost-dev nlohmann-json3-dev libmsgpack-cxx-dev libxxhash-dev \
  libbenchmark-dev gnuplot-nox >/dev/null
