package httpserver

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// Error is the JSON body of a refused call.
type Error struct {
	Error string `json:"error"`
}

// Reply answers with status and value as JSON.
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

// Refuse answers with status and a JSON error.
func Refuse(ctx *fasthttp.RequestCtx, status int, message string) {
	Reply(ctx, status, Error{Error: message})
}

// Decode reads the JSON body into value. It answers 400 and returns false when the body is malformed.
func Decode(ctx *fasthttp.RequestCtx, value any) bool {
	if err := json.Unmarshal(ctx.Request.Body(), value); err != nil {
		Refuse(ctx, fasthttp.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// Cut closes the caller's connection without an answer.
func Cut(ctx *fasthttp.RequestCtx) {
	ctx.SetConnectionClose()
	_ = ctx.Conn().Close()
}
