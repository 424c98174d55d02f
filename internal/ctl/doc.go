// Package ctl is balsamctl, the command with which operators and pipelines apply, compare and roll
// back configurations and look into running processes. cmd/balsamctl calls Main.
//
// It never asks questions and uses no terminal features; its exit codes and its JSON output are
// stable.
package ctl
