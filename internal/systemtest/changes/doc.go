// Package changes holds the system tests of changes during operation. Configurations come into force and weight
// versions are rolled out on real processes, under load and during failures.
package changes
