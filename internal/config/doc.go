// Package config stores the operators' configuration in the platform's key-value service and
// distributes it to every process.
//
// Store writes and reads versions in the service; balsamctl uses it to apply and roll back.
// Holder keeps the configuration that is in force in a process; entries and agents read its snapshots.
// Propagator distributes versions from the few processes that watch the service to all others.
//
// A configuration is a tree document that references content documents by their SHA-256 digests. The
// root key of the service holds a version and the digest of its tree. Versions only increase: the
// root is written by compare-and-swap only, and a Holder rejects versions below its own.
package config
