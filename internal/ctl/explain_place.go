package ctl

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"io"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"balsamyoke.example/balsamyoke/internal/explain"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// maxKeyBytes bounds a file with an API key, in bytes. A gateway takes no longer header.
const maxKeyBytes = 8 << 10

// maxDigestedBody is the size of the start of a body by which gateways compare requests that crash servers.
const maxDigestedBody = 64 << 10

// parsePart parses a part of a prompt as ID:TOKENS.
func parsePart(text string) (*wire.PromptPart, error) {
	colon := strings.LastIndexByte(text, ':')
	if colon < 1 {
		return nil, ErrUsage.New("part %q is not ID:TOKENS", text)
	}
	tokens, err := strconv.ParseUint(text[colon+1:], 10, 32)
	if err != nil {
		return nil, ErrUsage.New("part %q is not ID:TOKENS", text)
	}
	return &wire.PromptPart{Id: text[:colon], Tokens: uint32(tokens)}, nil
}

type explainPlaceCommand struct {
	tool         *tool
	JSON         bool          `long:"json" description:"the same as --output json"`
	Host         string        `long:"host" required:"yes" value-name:"HOST" description:"host of the request"`
	Path         string        `long:"path" required:"yes" value-name:"PATH" description:"path of the request"`
	KeyFile      string        `long:"key-file" value-name:"FILE" description:"file with the API key; - is the standard input"`
	Organisation string        `long:"organisation" value-name:"NAME" description:"organisation, instead of an API key"`
	Model        string        `long:"model" value-name:"NAME" description:"model; none for plain services"`
	Parts        []string      `long:"part" value-name:"ID:TOKENS" description:"part of the prompt; repeated, in the order of the prompt"`
	PromptTokens uint32        `long:"prompt-tokens" value-name:"N" description:"size of the prompt (default: the sum of the parts)"`
	OutputTokens uint32        `long:"output-tokens" value-name:"N" description:"maximum size of the response"`
	Bytes        uint32        `long:"bytes" value-name:"N" description:"size of the request, header and body"`
	Priority     *uint32       `long:"priority" value-name:"N" description:"priority, 0 to 9 (default: that of the organisation or route)"`
	TimeLeft     time.Duration `long:"time-left" value-name:"DURATION" description:"time until the deadline (default: the route's timeout)"`
	LastEventID  string        `long:"last-event-id" value-name:"ID" description:"for the rest of a stream: id of the last event that the caller has"`
	Resumes      string        `long:"resumes" value-name:"REQUEST-ID" description:"for the rest of a stream: id of the request that brought its first event"`
	Method       string        `long:"method" value-name:"METHOD" default:"GET" description:"method of a request to a plain service"`
	BodyFile     string        `long:"body-file" value-name:"FILE" description:"file with the body of a request to a plain service; it is compared with those that crashed servers"`
	Args         struct {
		Address string `positional-arg-name:"GATEWAY-ADDRESS" required:"yes" description:"ip:port of the control port, or all for every gateway of the instance list"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *explainPlaceCommand) Execute([]string) error {
	if c.JSON {
		c.tool.options.Output = "json"
	}
	request, err := c.request()
	if err != nil {
		return err
	}
	if c.Args.Address == allProcesses {
		return c.explainAll(request)
	}
	var place explain.Place
	var invalid error
	process := processArgument{Address: c.Args.Address}
	err = process.call(c.tool, func(ctx context.Context, client wire.AdminClient) error {
		reply, err := client.ExplainPlace(ctx, request)
		if invalid = usageError(err); invalid != nil || err != nil {
			return err
		}
		return json.Unmarshal(reply.GetJson(), &place)
	})
	if invalid != nil {
		return invalid
	}
	if err != nil {
		return err
	}
	return c.tool.show(placeResult{place})
}

// usageError returns the error for a request that a gateway finds wrong; nil for other errors.
func usageError(err error) error {
	if status.Code(err) != codes.InvalidArgument {
		return nil
	}
	return ErrUsage.New("%s", status.Convert(err).Message())
}

// request returns the request that the flags describe.
func (c *explainPlaceCommand) request() (*wire.ExplainPlaceRequest, error) {
	if c.TimeLeft < 0 || c.TimeLeft.Milliseconds() > math.MaxUint32 {
		return nil, ErrUsage.New("time left %s", c.TimeLeft)
	}
	request := &wire.ExplainPlaceRequest{
		Host: c.Host, Path: c.Path, Organisation: c.Organisation, Model: c.Model, PromptTokens: c.PromptTokens, OutputTokens: c.OutputTokens,
		Bytes: c.Bytes, Priority: c.Priority, TimeLeftMs: uint32(c.TimeLeft.Milliseconds()),
	}
	for _, text := range c.Parts {
		part, err := parsePart(text)
		if err != nil {
			return nil, err
		}
		request.Parts = append(request.Parts, part)
	}
	request.LastEventId, request.Resumes, request.Method = c.LastEventID, c.Resumes, c.Method
	var err error
	if c.BodyFile != "" {
		if request.BodyBytes, request.BodyDigest, err = digestBody(c.BodyFile); err != nil {
			return nil, err
		}
		request.Bytes = max(request.Bytes, request.BodyBytes)
	}
	if c.KeyFile == "" {
		return request, nil
	}
	request.ApiKey, err = readKey(c.KeyFile)
	return request, err
}

// digestBody returns the size of the body in a file and the digest that identifies it.
func digestBody(name string) (size uint32, digest []byte, err error) {
	file, err := os.Open(name)
	if err != nil {
		return 0, nil, ErrUsage.Wrap(err, "body cannot be read")
	}
	defer file.Close()
	hash := sha256.New()
	start, err := io.Copy(hash, io.LimitReader(file, maxDigestedBody))
	if err != nil {
		return 0, nil, ErrUsage.Wrap(err, "body cannot be read")
	}
	rest, err := io.Copy(io.Discard, io.LimitReader(file, math.MaxUint32))
	if err != nil {
		return 0, nil, ErrUsage.Wrap(err, "body cannot be read")
	}
	if start+rest > math.MaxUint32 {
		return 0, nil, ErrUsage.New("body of more than %d bytes", uint32(math.MaxUint32))
	}
	return uint32(start + rest), hash.Sum(nil), nil
}

// readKey returns the API key in a file. Keys aren't given as arguments because process lists show these.
func readKey(name string) (string, error) {
	if name == "-" {
		name = "/dev/stdin"
	}
	file, err := os.Open(name)
	if err != nil {
		return "", ErrUsage.Wrap(err, "API key cannot be read")
	}
	defer file.Close()
	key, err := io.ReadAll(io.LimitReader(file, maxKeyBytes+1))
	if err != nil {
		return "", ErrUsage.Wrap(err, "API key cannot be read")
	}
	key = bytes.TrimSpace(key)
	if len(key) == 0 || len(key) > maxKeyBytes {
		return "", ErrUsage.New("the file %q holds no API key of at most %d bytes", name, maxKeyBytes)
	}
	return string(key), nil
}

// explainAll shows the explanations of all gateways, ordered by instance. Processes that don't respond or place no requests are left
// out, as explain does. If all that respond find the request wrong, that is the error.
func (c *explainPlaceCommand) explainAll(request *wire.ExplainPlaceRequest) error {
	if c.tool.options.InstanceList == "" {
		return ErrUsage.New("explain-place all requires --instance-list")
	}
	ctx, cancel := c.tool.context()
	defer cancel()
	places, invalid := placeResults{}, error(nil)
	err := c.tool.eachProcess(ctx, func(ctx context.Context, _ metastore.Instance, connection grpc.ClientConnInterface) func() {
		reply, err := wire.NewAdminClient(connection).ExplainPlace(ctx, request)
		var place explain.Place
		explained := err == nil && json.Unmarshal(reply.GetJson(), &place) == nil
		return func() {
			if explained {
				places = append(places, placeResult{place})
			} else if wrong := usageError(err); wrong != nil {
				invalid = wrong
			}
		}
	})
	switch {
	case err != nil:
		return err
	case len(places) == 0 && invalid != nil:
		return invalid
	case len(places) == 0:
		return ErrProcess.New("no gateway of the instance list responds")
	}
	slices.SortFunc(places, func(a, b placeResult) int { return strings.Compare(a.Instance, b.Instance) })
	return c.tool.show(places)
}
