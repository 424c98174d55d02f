package fleet

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("fleet")

// ErrPeer means that another gateway can't be reached or doesn't reply.
var ErrPeer = namespace.NewType("peer", errorx.Temporary())
