// Package atmostonce holds the system tests of non-idempotent requests. They run real processes, inject failures while
// callers submit their keys repeatedly through several entries, and check the histories.
package atmostonce
