package limits

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("limits")

// ErrOwnerUnreachable means that the owner of an organisation's limit did not reply to a draw.
var ErrOwnerUnreachable = namespace.NewType("home_unreachable", errorx.Temporary())
