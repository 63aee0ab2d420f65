package runner

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/wrenferry/wrenferry/pkg/connection/sendtrace"
	"github.com/wrenferry/wrenferry/pkg/fault"
)

// Client makes calls to backend servers. Calls and streams use separate connections,
// so that long-lived streams never make calls wait.
type Client struct {
	calls      *http.Client
	streams    *http.Client
	maxStreams int
}

// NewClient returns a client that opens at most the given number of connections to one
// server: a server's 64 connections are shared by all entry hosts. Streams get the smaller half.
func NewClient(connections int) *Client {
	streams := max(1, connections/2)
	return &Client{
		calls:      newHTTPClient(max(1, connections-streams)),
		streams:    newHTTPClient(streams),
		maxStreams: streams,
	}
}

// MaxStreams returns the maximum number of open streams to one server.
func (c *Client) MaxStreams() int { return c.maxStreams }

// newHTTPClient returns an HTTP client with at most the given number of connections to one
// server, which does not follow redirects.
func newHTTPClient(connections int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxConnsPerHost:     connections,
			MaxIdleConnsPerHost: connections,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Answer is a server's complete answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Report Report
	// Refused means that the server refused the request before running anything.
	Refused bool
}

// MaxAnswer is the maximum size of a server's answer in bytes.
const MaxAnswer = 64 << 20

// Call sends one request to one server, without retry, and reads the complete answer.
// On failure the fault's code is NotRun if the server certainly did not start the request,
// and Unknown otherwise.
func (c *Client) Call(ctx context.Context, address, service, kind, key string, header http.Header, body []byte) (*Answer, error) {
	ctx, mark := sendtrace.TraceHTTP(ctx)
	url := "http://" + address + CallPath + service + "/" + kind
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, singleReadBody{bytes.NewReader(body)})
	if err != nil {
		return nil, fault.New(fault.NotRun, address, "not an address", "").WithCause(err)
	}
	req.ContentLength = int64(len(body))
	req.Header = header.Clone()
	if key != "" {
		req.Header.Set(KeyHeader, key)
	}
	resp, err := c.calls.Do(req)
	if err != nil {
		return nil, sendError(mark, address, err)
	}
	defer resp.Body.Close()
	return readAnswer(resp, address)
}

// singleReadBody is a body that can't be rewound. net/http retries a request with an
// Idempotency-Key on its own when it can rewind the body; here the gateway decides
// about retries.
type singleReadBody struct{ io.Reader }

// Close does nothing: the data is in memory.
func (singleReadBody) Close() error { return nil }

// sendError returns the fault of a request that got no answer: NotRun if it was certainly not
// sent, and else Unknown.
func sendError(mark *sendtrace.Mark, address string, err error) error {
	if mark.MaybeSent() {
		return fault.New(fault.Unknown, address, "no whole answer", "").WithCause(err)
	}
	return fault.New(fault.NotRun, address, "the request was not sent", "").WithCause(err)
}

func readAnswer(resp *http.Response, address string) (*Answer, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswer+1))
	if err != nil {
		return nil, fault.New(fault.Unknown, address, "the answer broke off", "").WithCause(err)
	}
	if len(body) > MaxAnswer {
		return nil, fault.New(fault.Unknown, address, "the answer is too large", "")
	}
	a := &Answer{
		Status:  resp.StatusCode,
		Header:  resp.Header,
		Body:    body,
		Refused: resp.Header.Get(RefusedHeader) != "",
		Report:  parseReport(resp),
	}
	return a, nil
}

// parseReport returns the server's state from the status and headers of an answer.
func parseReport(resp *http.Response) Report {
	r := Report{Free: -1, Leaving: resp.Header.Get(LeavingHeader) != ""}
	if n, err := strconv.Atoi(resp.Header.Get(FreeHeader)); err == nil {
		r.Free = n
	}
	switch {
	case resp.Header.Get(RefusedHeader) != "":
		r.Verdict = Busy
	case resp.StatusCode >= http.StatusInternalServerError:
		r.Verdict = Failed
	}
	return r
}

// Stream opens a long-lived event stream that continues after lastEventID. The caller
// closes the response's body.
func (c *Client) Stream(ctx context.Context, address, service, kind, lastEventID string) (*http.Response, error) {
	url := "http://" + address + StreamPath + service + "/" + kind
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, fault.New(fault.NotRun, address, "not an address", "").WithCause(err)
	}
	if lastEventID != "" {
		req.Header.Set("Last-Event-ID", lastEventID)
	}
	resp, err := c.streams.Do(req)
	if err != nil {
		return nil, fault.New(fault.Unavailable, address, "the stream could not be opened", "").WithCause(err)
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, fault.New(fault.Unavailable, address, "the stream was refused: "+resp.Status, "")
	}
	return resp, nil
}
