package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/request/admit"
)

// Outcome tells a caller whether its request ran. Outcomes are final.
type Outcome string

// The outcomes.
const (
	// Done means that the work ran, and the answer is whole.
	Done Outcome = "done"
	// NotRun means that the work certainly did not run, so a retry is safe.
	NotRun Outcome = "not run"
	// Unknown means that the work may have run.
	Unknown Outcome = "unknown"
)

// The headers that callers receive and set.
const (
	OutcomeHeader = "Wrenferry-Outcome"
	ReasonHeader  = "Wrenferry-Reason"
	VersionHeader = "Wrenferry-Settings-Version"
	// RetryHeader marks a call as a retry under its key.
	RetryHeader = "Wrenferry-Retry"
	// DeadlineHeader is a deadline in milliseconds that is shorter than the kind's.
	DeadlineHeader = "Wrenferry-Deadline-Ms"
	// KeyHeader carries the key that the caller chose.
	KeyHeader = "Idempotency-Key"
)

// Answer is a whole answer to a caller. It is immutable.
type Answer struct {
	Outcome    Outcome
	Reason     string
	Status     int
	Header     http.Header
	Body       []byte
	RetryAfter time.Duration
}

// Problem is the body of an answer that carries no result (RFC 9457).
type Problem struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail"`
	Outcome Outcome `json:"outcome"`
	Reason  string  `json:"reason"`
	Remedy  string  `json:"remedy,omitempty"`
}

// refusedAnswer returns the answer for a refusal: the work did not run, and a retry time is given.
func refusedAnswer(r admit.Refusal, detail string) Answer {
	return Answer{
		Outcome:    NotRun,
		Reason:     string(r.Reason),
		Status:     http.StatusServiceUnavailable,
		Body:       []byte(detail),
		RetryAfter: r.RetryAfter,
	}
}

// unknownAnswer returns the answer for work that may or may not have run.
func unknownAnswer(reason, detail string) Answer {
	return Answer{Outcome: Unknown, Reason: reason, Status: http.StatusGatewayTimeout, Body: []byte(detail)}
}

// faultAnswer returns the answer for a failure before the work was sent to a server.
func faultAnswer(err error) Answer {
	code := fault.CodeOf(err)
	a := Answer{Outcome: NotRun, Reason: string(code), Status: fault.Status(code), Body: []byte(err.Error())}
	switch code {
	case fault.Unknown, fault.Internal:
		a.Outcome = Unknown
	case fault.NotRun, fault.Unavailable:
		a.RetryAfter = time.Second
	case fault.BadInput, fault.NotFound, fault.Conflict, fault.TooLarge:
	}
	return a
}

// titles are the problem titles by outcome.
var titles = map[Outcome]string{
	NotRun:  "The work did not run.",
	Unknown: "The work may or may not have run.",
}

// write sends an answer. It sets Content-Length, so that a caller can tell a whole answer from
// a truncated one.
func (a Answer) write(w http.ResponseWriter, version int64) {
	header := w.Header()
	for name, values := range a.Header {
		if !hopByHop[name] {
			header[name] = values
		}
	}
	body := a.Body
	if a.Outcome != Done {
		body = a.problem()
		header.Set("Content-Type", "application/problem+json")
	}
	header.Set(OutcomeHeader, string(a.Outcome))
	header.Set(VersionHeader, strconv.FormatInt(version, 10))
	if a.Reason != "" {
		header.Set(ReasonHeader, a.Reason)
	}
	if a.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(a.RetryAfter.Seconds()))))
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(a.Status)
	_, _ = w.Write(body) // fails only if the caller is gone
}

// problem returns the answer's body as a Problem. The text before "; " is its detail, the rest its remedy.
func (a Answer) problem() []byte {
	detail, remedy, _ := strings.Cut(string(a.Body), "; ")
	body, err := json.Marshal(Problem{
		Type:    "urn:wrenferry:" + a.Reason,
		Title:   titles[a.Outcome],
		Status:  a.Status,
		Detail:  detail,
		Outcome: a.Outcome,
		Reason:  a.Reason,
		Remedy:  remedy,
	})
	if err != nil {
		return nil
	}
	return append(body, '\n')
}

// hopByHop lists the headers that are not copied: those about a single connection, and those that
// the entry host sets itself.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	OutcomeHeader: true, ReasonHeader: true, VersionHeader: true,
}

// forwarded returns a copy of the caller's headers that are sent on to a server.
func forwarded(in http.Header) http.Header {
	out := make(http.Header, len(in))
	for name, values := range in {
		if !hopByHop[name] {
			out[name] = values
		}
	}
	return out
}
