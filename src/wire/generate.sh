#!/bin/sh
# Regenerates the committed protobuf and gRPC code. Needs protobuf-compiler and
# protobuf-compiler-grpc; the ordinary build does not.
set -eu
cd "$(dirname "$0")"
protoc --cpp_out=generated ./*.proto
protoc --grpc_out=generated --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" peer.proto
