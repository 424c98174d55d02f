package httphead

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("httphead")

// ErrMalformed means that a head isn't one of HTTP/1.1, so that nothing that it states can be believed.
var ErrMalformed = namespace.NewType("malformed")
