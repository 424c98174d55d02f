package entry

import (
	"encoding/binary"
	"encoding/json"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/claim"
	"balsamyoke.example/balsamyoke/internal/config"
	"balsamyoke.example/balsamyoke/internal/manifest"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// bytesPerToken is the assumed size of a token, used to estimate prompt tokens from canonical text.
	bytesPerToken = 4
	// defaultMaxTokens limits the response tokens of kinds that set no limit.
	defaultMaxTokens = 1024
	// kindHeader names the kind of request; without it the service's first kind applies.
	kindHeader = "X-Request-Kind"
	// idempotencyHeader carries the caller's idempotency key.
	idempotencyHeader = "Idempotency-Key"
	// adapterSeparator separates the service from the adapter in the model field.
	adapterSeparator = ":"
)

// request is a caller's request after all checks that need no other process.
type request struct {
	id             uuid.UUID
	arrivedAt      time.Time
	deadline       time.Time
	snapshot       *config.Snapshot
	organisation   *manifest.Organisation
	service        *manifest.Service
	kind           *manifest.Kind
	adapter        string
	idempotencyKey string
	claimKey       *claim.Key
	payload        []byte
	stream         bool
	// text is the canonical prompt, kept to compute the piece names again for another weight version.
	text               []byte
	requestedMaxTokens uint32
	// binding is the weight version that the request runs on, with its piece names.
	binding      versionBinding
	promptTokens uint32
	maxTokens    uint32

	method      string
	path        string
	contentType string
}

// chatBody holds the fields of an OpenAI-style chat request that the entry reads.
type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens uint32        `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens.
	MaxCompletionTokens uint32 `json:"max_completion_tokens"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// readChat parses and checks a chat completion request.
func (e *Entry) readChat(ctx *fasthttp.RequestCtx) (*request, *Failure) {
	r, failure := e.newRequest(ctx)
	if failure != nil {
		return nil, failure
	}
	var body chatBody
	r.payload = append([]byte(nil), ctx.PostBody()...)
	if err := json.Unmarshal(r.payload, &body); err != nil {
		return nil, refusal(CodeMalformed, fasthttp.StatusBadRequest, "body is not a chat request: "+err.Error())
	}
	if len(body.Messages) == 0 {
		return nil, refusal(CodeMalformed, fasthttp.StatusBadRequest, `field "messages" is empty`)
	}
	name, adapter, _ := strings.Cut(body.Model, adapterSeparator)
	if failure := r.resolve(name, manifest.ServiceModel, string(ctx.Request.Header.Peek(kindHeader))); failure != nil {
		return nil, failure
	}
	if failure := r.setAdapter(adapter); failure != nil {
		return nil, failure
	}
	r.stream = body.Stream
	r.text = canonicalText(body.Messages)
	r.requestedMaxTokens = max(body.MaxTokens, body.MaxCompletionTokens)
	r.bindAndEstimate()
	return r, nil
}

// readPlain parses and checks a request to a plain service.
func (e *Entry) readPlain(ctx *fasthttp.RequestCtx, service, kind string) (*request, *Failure) {
	r, failure := e.newRequest(ctx)
	if failure != nil {
		return nil, failure
	}
	if failure := r.resolve(service, manifest.ServicePlain, kind); failure != nil {
		return nil, failure
	}
	r.payload = append([]byte(nil), ctx.PostBody()...)
	r.method = string(ctx.Method())
	r.path = "/" + kind
	r.contentType = string(ctx.Request.Header.ContentType())
	return r, nil
}

// newRequest authenticates the caller and returns a request under the current configuration. It fails
// while no configuration is confirmed.
func (e *Entry) newRequest(ctx *fasthttp.RequestCtx) (*request, *Failure) {
	snapshot := e.configuration.Current()
	if snapshot == nil || !snapshot.Confirmed {
		return nil, retryable(CodeStarting, fasthttp.StatusServiceUnavailable,
			"the configuration is not confirmed yet", time.Second)
	}
	organisation, failure := authenticate(ctx, snapshot)
	if failure != nil {
		return nil, failure
	}
	return &request{
		id:             uuid.New(),
		arrivedAt:      time.Now(),
		snapshot:       snapshot,
		organisation:   organisation,
		idempotencyKey: string(ctx.Request.Header.Peek(idempotencyHeader)),
	}, nil
}

func authenticate(ctx *fasthttp.RequestCtx, snapshot *config.Snapshot) (*manifest.Organisation, *Failure) {
	scheme, key, hasKey := strings.Cut(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), " ")
	if !hasKey || !strings.EqualFold(scheme, "Bearer") {
		return nil, refusal(CodeUnknownKey, fasthttp.StatusUnauthorized, "header Authorization holds no bearer key")
	}
	organisation, ok := snapshot.Index.OrganisationByKey(strings.TrimSpace(key))
	if !ok {
		return nil, refusal(CodeUnknownKey, fasthttp.StatusUnauthorized, "bearer key belongs to no organisation")
	}
	return organisation, nil
}

// resolve sets the service, the kind and the deadline from the configuration and checks access.
func (r *request) resolve(service string, serviceType manifest.ServiceType, kind string) *Failure {
	index := r.snapshot.Index
	configured, ok := index.Service(service)
	if !ok || configured.Type != serviceType {
		return refusal(CodeUnknownService, fasthttp.StatusNotFound, "no "+string(serviceType)+" service is named "+quote(service))
	}
	if !index.Allowed(r.organisation.Name, service) {
		return refusal(CodeNotAllowed, fasthttp.StatusForbidden,
			"organisation "+quote(r.organisation.Name)+" may not call service "+quote(service))
	}
	if failure := r.resolveKind(service, kind); failure != nil {
		return failure
	}
	r.service = configured
	r.deadline = r.arrivedAt.Add(time.Duration(r.kind.DeadlineMS) * time.Millisecond)
	return nil
}

func (r *request) resolveKind(service, kind string) *Failure {
	configured, ok := r.snapshot.Index.DefaultKind(service)
	if kind != "" {
		configured, ok = r.snapshot.Index.Kind(service, kind)
	}
	if !ok {
		return refusal(CodeUnknownKind, fasthttp.StatusNotFound,
			"service "+quote(service)+" has no kind of request "+quote(kind))
	}
	r.kind = configured
	return nil
}

func (r *request) setAdapter(adapter string) *Failure {
	if adapter == "" {
		return nil
	}
	for _, configured := range r.service.Adapters {
		if configured == adapter {
			r.adapter = adapter
			return nil
		}
	}
	return refusal(CodeUnknownService, fasthttp.StatusNotFound,
		"service "+quote(r.service.Name)+" has no adapter "+quote(adapter))
}

// bindAndEstimate binds the request to the weight version in force and estimates its tokens.
func (r *request) bindAndEstimate() {
	r.binding = r.bindVersion(r.service.WeightVersion)
	r.promptTokens = uint32(len(r.text) / bytesPerToken)
	r.maxTokens = maxResponseTokens(r.requestedMaxTokens, r.kind)
}

// maxResponseTokens returns the smaller of the caller's requested limit and the kind's limit.
func maxResponseTokens(requested uint32, kind *manifest.Kind) uint32 {
	limit := uint32(defaultMaxTokens)
	if kind.MaxTokens > 0 {
		limit = uint32(kind.MaxTokens)
	}
	if requested > 0 && requested < limit {
		return requested
	}
	return limit
}

// updateConfiguration moves a request that has not run to a newer configuration.
func (r *request) updateConfiguration(snapshot *config.Snapshot) *Failure {
	organisation, ok := snapshot.Index.Organisation(r.organisation.Name)
	if !ok {
		return refusal(CodeUnknownKey, fasthttp.StatusUnauthorized, "the organisation is no longer configured")
	}
	r.snapshot = snapshot
	r.organisation = organisation
	if failure := r.resolve(r.service.Name, r.service.Type, r.kind.Name); failure != nil {
		return failure
	}
	if r.service.Type == manifest.ServiceModel {
		r.bindAndEstimate()
	}
	return nil
}

// canonicalText encodes messages such that a conversation's earlier text is a prefix of its later text. Each
// role and content is preceded by its length, so that different messages never have the same encoding.
func canonicalText(messages []chatMessage) []byte {
	var text []byte
	for _, message := range messages {
		text = binary.AppendUvarint(text, uint64(len(message.Role)))
		text = append(text, message.Role...)
		text = binary.AppendUvarint(text, uint64(len(message.Content)))
		text = append(text, message.Content...)
	}
	return text
}

func (r *request) urgency() wire.Urgency {
	if r.kind.Urgency == manifest.Patient {
		return wire.Urgency_URGENCY_PATIENT
	}
	return wire.Urgency_URGENCY_URGENT
}

func quote(name string) string { return `"` + name + `"` }
