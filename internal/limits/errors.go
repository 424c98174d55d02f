package limits

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("limits")

// ErrHomeUnreachable means that the home of an organisation's limit did not answer a draw.
var ErrHomeUnreachable = namespace.NewType("home_unreachable", errorx.Temporary())
