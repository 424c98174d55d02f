// Package systemtest holds tests of a whole deployment of processes under faults. It has no code
// besides its tests.
package systemtest
