// Package ctl implements balsamctl, the command with which operators and pipelines apply, compare and roll
// back configurations and inspect running processes. cmd/balsamctl calls Main.
//
// The command has no interactive prompts and uses no terminal features. Its exit codes and its JSON output
// are stable.
package ctl
