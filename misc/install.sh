#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail
packages=(g++ cmake ninja-build ccache pkg-config clang-format clang-tidy
  libabsl-dev libnng-dev libmicrohttpd-dev libcurl4-openssl-dev libgflags-dev
  catch2 libboost-dev libboost-log-dev libboost-thread-dev
  nlohmann-json3-dev libvalijson-dev libxxhash-dev jq curl)
if dpkg-query -W -f='${Status}\n' "${packages[@]}" 2>/dev/null | sort | uniq -c |
  grep -qE "^ *${#packages[@]} install ok installed$"; then
  exit 0
fi
apt-get update -q
DEBIAN_FRONTEND=noninteractive apt-get install -y -q "${packages[@]}"
