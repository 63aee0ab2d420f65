// Package protohttp sends protocol-buffer messages over plain HTTP: one POST, with
// one message in the request and one in the reply. The clients of the platform and
// of the workers use it.
package protohttp

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"google.golang.org/protobuf/proto"

	"github.com/wrenferry/wrenferry/pkg/connection/sendtrace"
	"github.com/wrenferry/wrenferry/pkg/fault"
)

// The header and media type of a call, and the size limit of a message.
const (
	// FromHeader names the calling process.
	FromHeader = "Wrenferry-From"
	mediaType  = "application/x-protobuf"
	// maxMessage is the maximum size in bytes that is read of one message.
	maxMessage = 64 << 20
)

// Client makes calls as a named process.
type Client struct {
	from string
	http *http.Client
}

// NewClient returns a client that names its process as from, and opens at most the
// given number of connections to one address.
func NewClient(from string, connections int) *Client {
	return &Client{from: from, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: connections,
		MaxConnsPerHost:     connections,
	}}}
}

// Call posts the message in and decodes the reply into out. An error with the code
// NotRun means that the message was not sent. After any other error the caller can't
// know whether the server has processed the message.
func (c *Client) Call(ctx context.Context, url string, in, out proto.Message) error {
	body, err := proto.Marshal(in)
	if err != nil {
		return fault.New(fault.Internal, url, "the message can't be encoded", "").WithCause(err)
	}
	ctx, mark := sendtrace.TraceHTTP(ctx)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return fault.New(fault.BadInput, url, "not an address", "check the settings of the process").WithCause(err)
	}
	req.Header.Set("Content-Type", mediaType)
	req.Header.Set(FromHeader, c.from)
	resp, err := c.http.Do(req)
	if err != nil {
		return sendError(mark, url, err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxMessage))
	if err != nil {
		return fault.New(fault.Unavailable, url, "the answer broke off", "").WithCause(err)
	}
	if resp.StatusCode != http.StatusOK {
		return fault.New(fault.Unavailable, url, "status "+resp.Status, "")
	}
	if err := proto.Unmarshal(answer, out); err != nil {
		return fault.New(fault.Internal, url, "the answer can't be read", "").WithCause(err)
	}
	return nil
}

// sendError returns the fault of a call that got no answer: NotRun if it was certainly not
// sent, and else Unavailable.
func sendError(mark *sendtrace.Mark, url string, err error) error {
	if mark.MaybeSent() {
		return fault.New(fault.Unavailable, url, "no answer", "").WithCause(err)
	}
	return fault.New(fault.NotRun, url, "no connection", "").WithCause(err)
}

// Receive decodes the message of a request on the server's side.
func Receive(r *http.Request, in proto.Message) error {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxMessage))
	if err != nil {
		return fault.New(fault.BadInput, r.URL.Path, "the message broke off", "").WithCause(err)
	}
	if err := proto.Unmarshal(body, in); err != nil {
		return fault.New(fault.BadInput, r.URL.Path, "the message can't be read", "").WithCause(err)
	}
	return nil
}

// Answer writes the reply to a request on the server's side.
func Answer(w http.ResponseWriter, out proto.Message) error {
	body, err := proto.Marshal(out)
	if err != nil {
		return fault.New(fault.Internal, "", "the answer can't be encoded", "").WithCause(err)
	}
	w.Header().Set("Content-Type", mediaType)
	if _, err := w.Write(body); err != nil {
		return fault.New(fault.Unavailable, "", "the caller went away", "").WithCause(err)
	}
	return nil
}
