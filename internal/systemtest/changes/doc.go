// Package changes holds the system tests of changes under way: configurations that come into force
// and weight versions that are rolled out on real processes, under load and under failures.
package changes
