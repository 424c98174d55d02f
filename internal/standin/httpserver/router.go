package httpserver

import "github.com/valyala/fasthttp"

// Router maps "METHOD /path" to handlers.
type Router map[string]fasthttp.RequestHandler

// Handle passes a request to the handler of its route. It sends status 404 when there is none.
func (r Router) Handle(ctx *fasthttp.RequestCtx) {
	handler, ok := r[string(ctx.Method())+" "+string(ctx.Path())]
	if !ok {
		ReplyError(ctx, fasthttp.StatusNotFound, "no such route")
		return
	}
	handler(ctx)
}
