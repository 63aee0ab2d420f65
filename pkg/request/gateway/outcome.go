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

// Outcome is what a caller is told became of its request. Outcomes are final.
type Outcome string

// The outcomes.
const (
	// Done: it ran, and this is the whole answer.
	Done Outcome = "done"
	// NotRun: it surely did not run; asking again is safe.
	NotRun Outcome = "not run"
	// Unknown: it may have run.
	Unknown Outcome = "unknown"
)

// The headers that callers see and set.
const (
	OutcomeHeader = "Wrenferry-Outcome"
	ReasonHeader  = "Wrenferry-Reason"
	VersionHeader = "Wrenferry-Settings-Version"
	// RetryHeader marks a call as a second try under its key.
	RetryHeader = "Wrenferry-Retry"
	// DeadlineHeader shortens the deadline of the kind, in milliseconds.
	DeadlineHeader = "Wrenferry-Deadline-Ms"
	// KeyHeader carries the caller's own key.
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

// refusedAnswer turns a refusal into an answer: nothing ran, come back then.
func refusedAnswer(r admit.Refusal, detail string) Answer {
	return Answer{
		Outcome:    NotRun,
		Reason:     string(r.Reason),
		Status:     http.StatusServiceUnavailable,
		Body:       []byte(detail),
		RetryAfter: r.RetryAfter,
	}
}

// unknownAnswer is the answer when nobody can say whether the work ran.
func unknownAnswer(reason, detail string) Answer {
	return Answer{Outcome: Unknown, Reason: reason, Status: http.StatusGatewayTimeout, Body: []byte(detail)}
}

// faultAnswer turns a failure that came before anything ran into an answer.
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

// write sends an answer. Lengths are set, so that a caller can tell a whole
// answer from a broken one.
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
	_, _ = w.Write(body) // a caller that went away can't be told so
}

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

// hopByHop lists headers that speak of one connection only, and those that the
// entry host sets itself.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	OutcomeHeader: true, ReasonHeader: true, VersionHeader: true,
}

// forwarded copies the headers of a caller that a server is to see.
func forwarded(in http.Header) http.Header {
	out := make(http.Header, len(in))
	for name, values := range in {
		if !hopByHop[name] {
			out[name] = values
		}
	}
	return out
}
