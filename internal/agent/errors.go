package agent

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("agent")

// ErrStart means that the agent could not start with its settings.
var ErrStart = namespace.NewType("start")
