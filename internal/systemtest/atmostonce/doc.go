// Package atmostonce holds the system tests of requests that may not be repeated: real processes,
// failures while callers re-send their keys through several entries, and checked histories.
package atmostonce
