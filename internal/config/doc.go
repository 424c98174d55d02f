// Package config keeps the operators' configuration in the platform's key-value service and in
// force in every process.
//
// Store writes and reads versions in the service; balsamctl uses it to apply and roll back.
// Holder is what a process has in force; entries and agents read its snapshots. Spread carries
// versions from the few processes that watch the service to all others.
//
// A configuration is a tree document that names content documents by their SHA-256 digests. The
// root key of the service holds a version and the digest of its tree. Versions only rise: the
// root is written by compare-and-swap only, and a Holder takes no version below its own.
package config
