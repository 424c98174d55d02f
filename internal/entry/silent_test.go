package entry

import (
	"fmt"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// TestSilentConnectionIsClosedAsTimedOut looks at the answer to a connection on which no request came
// in time. HTTP clients know 408 there as the end of the connection; any other status they may take
// for the answer to the request that they were about to send.
func TestSilentConnectionIsClosedAsTimedOut(t *testing.T) {
	c := qt.New(t)
	for _, err := range []error{
		os.ErrDeadlineExceeded,
		fmt.Errorf("error when reading request headers: %w", os.ErrDeadlineExceeded),
	} {
		ctx := &fasthttp.RequestCtx{}
		badHTTP(ctx, err)
		c.Assert(ctx.Response.StatusCode(), qt.Equals, fasthttp.StatusRequestTimeout)
		c.Assert(ctx.Response.ConnectionClose(), qt.IsTrue)
		c.Assert(string(ctx.Response.Body()), qt.Contains, `"outcome":"not_run"`)
	}
}
