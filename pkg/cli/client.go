package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/pkg/connection/sendtrace"
	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/operators"
	"github.com/wrenferry/wrenferry/pkg/request/gateway"
)

// callTimeout is the time limit of one call, over all addresses tried.
const callTimeout = 20 * time.Second

// client calls the entry hosts at addresses, in order, until one answers.
type client struct {
	addresses []string
	actor     string
}

func newClient(addresses, actor string) *client {
	return &client{addresses: strings.Split(addresses, ","), actor: actor}
}

// call makes one call and decodes the JSON answer into out. It tries the next address
// only if the call certainly did not reach the previous one.
func (c *client) call(ctx context.Context, method, path string, header http.Header, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var err error
	for _, address := range c.addresses {
		err = c.callOne(ctx, address, method, path, header, body, out)
		if err == nil || fault.CodeOf(err) != fault.NotRun {
			return err
		}
	}
	return err
}

func (c *client) callOne(ctx context.Context, address, method, path string, header http.Header, body []byte, out any) error {
	ctx, mark := sendtrace.TraceHTTP(ctx)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return fault.New(fault.BadInput, address, "not an address", "check --address").WithCause(err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set(operators.ActorHeader, c.actor)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		if mark.MaybeSent() {
			return fault.New(fault.Unknown, address, "no whole answer", "ask again").WithCause(err)
		}
		return fault.New(fault.NotRun, address, "no entry host answers there", "check --address or "+addressVariable).WithCause(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return fault.New(fault.Unknown, address, "the answer broke off", "ask again").WithCause(err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return faultFromProblem(text)
	}
	if err := json.Unmarshal(text, out); err != nil {
		return fault.New(fault.Internal, path, "the answer can't be read", "do wrenferry and wrenferryd have the same version?").WithCause(err)
	}
	return nil
}

// faultFromProblem returns the fault that a problem+json body describes.
func faultFromProblem(text []byte) error {
	var p struct {
		operators.Problem
		Reason string `json:"reason"`
		Remedy string `json:"remedy"`
	}
	if json.Unmarshal(text, &p) != nil {
		return fault.New(fault.Internal, "", string(text), "")
	}
	return fault.New(fault.Code(firstNonEmpty(p.Code, p.Reason)), "", p.Detail, p.Remedy)
}

// get returns the view at path.
func get[T any](ctx context.Context, s *session, path string) (T, error) {
	var out T
	return out, s.client.call(ctx, http.MethodGet, path, nil, nil, &out)
}

// post requests a change and returns the resulting view. A non-empty key is sent as the
// key header.
func post[T any](ctx context.Context, s *session, path, key string, body []byte) (T, error) {
	var out T
	header := http.Header{}
	if key != "" {
		header.Set(gateway.KeyHeader, key)
	}
	return out, s.client.call(ctx, http.MethodPost, path, header, body, &out)
}
