package entry

import (
	"fmt"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// No request arrived in time on a connection. HTTP clients treat a 408 response there as the end of the
// connection. They may take any other status as the response to the request that they are about to send.
func TestIdleConnectionIsClosedWithRequestTimeout(t *testing.T) {
	c := qt.New(t)
	for _, err := range []error{
		os.ErrDeadlineExceeded,
		fmt.Errorf("error when reading request headers: %w", os.ErrDeadlineExceeded),
	} {
		ctx := &fasthttp.RequestCtx{}
		handleHTTPError(ctx, err)
		c.Assert(ctx.Response.StatusCode(), qt.Equals, fasthttp.StatusRequestTimeout)
		c.Assert(ctx.Response.ConnectionClose(), qt.IsTrue)
		c.Assert(string(ctx.Response.Body()), qt.Contains, `"outcome":"not_run"`)
	}
}
