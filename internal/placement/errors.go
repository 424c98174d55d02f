package placement

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("placement")

// ErrUnknownPolicy means that no policy has the configured name.
var ErrUnknownPolicy = namespace.NewType("unknown_policy", errorx.NotFound())
