// Package wire defines the messages that the system's own processes exchange: frames over TCP,
// datagrams over UDP and control calls over gRPC. Entries, agents, gateways and balsamctl use it. The Go
// code is generated from the .proto files in this directory and committed.
package wire

//go:generate sh generate.sh
