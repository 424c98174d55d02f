// Package wire holds the messages that the system's own processes exchange: frames over TCP,
// datagrams over UDP and control calls over gRPC. Entries, agents and balsamctl use it; the Go
// code is generated from the .proto files beside it and committed.
package wire

//go:generate sh generate.sh
