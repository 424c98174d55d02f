package httpserver

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// Error is the JSON body of an error response.
type Error struct {
	Error string `json:"error"`
}

// Reply sends value as JSON with the given status.
func Reply(ctx *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// ReplyError sends an error as JSON with the given status.
func ReplyError(ctx *fasthttp.RequestCtx, status int, message string) {
	Reply(ctx, status, Error{Error: message})
}

// Decode decodes the JSON request body into value. It sends status 400 and returns false when the body is malformed.
func Decode(ctx *fasthttp.RequestCtx, value any) bool {
	if err := json.Unmarshal(ctx.Request.Body(), value); err != nil {
		ReplyError(ctx, fasthttp.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// Cut closes the caller's connection without a response.
func Cut(ctx *fasthttp.RequestCtx) {
	ctx.SetConnectionClose()
	_ = ctx.Conn().Close()
}
