package testbed

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/httpclient"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/metastore/listhttp"
)

const statusPollInterval = 20 * time.Millisecond // between calls to a process that is not ready

// Call sends a JSON request to address and decodes the response into reply unless that is nil. Any status but 2xx is
// an ErrCall.
func Call(ctx context.Context, method, address, path string, call, reply any) error {
	client := httpclient.New(address, httpclient.Options{})
	defer client.Close()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address + path)
	if call != nil {
		body, err := json.Marshal(call)
		if err != nil {
			return ErrCall.Wrap(err, "%s %s", method, path)
		}
		request.Header.SetContentType("application/json")
		request.SetBody(body)
	}
	if err := client.Do(ctx, request, response); err != nil {
		return ErrCall.Wrap(err, "%s %s", method, path)
	}
	if status := response.StatusCode(); status/100 != 2 {
		return ErrCall.New("%s %s on %s: status %d: %s", method, path, address, status, response.Body())
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(response.Body(), reply); err != nil {
		return ErrCall.Wrap(err, "%s %s", method, path)
	}
	return nil
}

// Metric returns the value of a counter or gauge without labels, read from a metrics address.
func Metric(ctx context.Context, address, name string) (float64, error) {
	client := httpclient.New(address, httpclient.Options{})
	defer client.Close()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + "/metrics")
	if err := client.Do(ctx, request, response); err != nil {
		return 0, ErrCall.Wrap(err, "metrics of %s", address)
	}
	for line := range strings.Lines(string(response.Body())) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			return strconv.ParseFloat(strings.TrimSpace(value), 64)
		}
	}
	return 0, ErrCall.New("%s has no metric %q", address, name)
}

// SetFaults sets the fault switches of a stand-in at its admin address.
func SetFaults(ctx context.Context, address string, faults any) error {
	return Call(ctx, fasthttp.MethodPost, address, "/admin/faults", faults, nil)
}

// publishInstances writes all instances to the instance list.
func (f *Fleet) publishInstances() error {
	var document listhttp.Document
	for _, instance := range f.Instances {
		document.Instances = append(document.Instances, instance.Instance)
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	return Call(ctx, fasthttp.MethodPut, f.ListAddress, "/admin/instances", document, nil)
}

// SetState changes the state of an instance in the instance list.
func (f *Fleet) SetState(ctx context.Context, id string, state metastore.InstanceState) error {
	type change struct {
		ID    string                  `json:"id"`
		State metastore.InstanceState `json:"state"`
	}
	return Call(ctx, fasthttp.MethodPost, f.ListAddress, "/admin/state", change{ID: id, State: state}, nil)
}

// awaitStatus waits until a GET of path succeeds. After readyTimeout it returns an ErrStart.
func awaitStatus(ctx context.Context, address, path string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		err := Call(ctx, fasthttp.MethodGet, address, path, nil, nil)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ErrStart.Wrap(err, "%s is not ready", address)
		case <-time.After(statusPollInterval):
		}
	}
}

// splitProgram splits a program given as "binary kind". isStandin is false when there is no kind.
func splitProgram(program string) (binary, kind string, isStandin bool) {
	return strings.Cut(program, " ")
}
