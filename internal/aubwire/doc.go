// Package aubwire holds the committed protobuf and gRPC code of the protocols
// between the system's own processes. The .proto files beside it are the source;
// make generate rewrites the rest.
package aubwire
