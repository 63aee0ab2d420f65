// Package fault defines the error type of wrenferry.
//
// Each error returned by a package states the kind of failure (a Code, which
// programs act on), the object concerned, and a remedy for the operator. eris
// keeps the chain of causes, so that a log line can show the original error.
package fault

import (
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Code is the kind of a failure. Codes are part of the public interface: they
// appear in problem+json bodies and metrics and decide the exit code of the CLI.
type Code string

// The kinds of failure.
const (
	// BadInput: the request is invalid, and repeating it unchanged fails again.
	BadInput Code = "bad-input"
	// NotFound: no object has the given name.
	NotFound Code = "not-found"
	// Conflict: the object was changed concurrently.
	Conflict Code = "conflict"
	// TooLarge: a body or a header exceeds its limit.
	TooLarge Code = "too-large"
	// NotRun: refused before any work ran; a retry is safe.
	NotRun Code = "not-run"
	// Unknown: the work may or may not have run.
	Unknown Code = "unknown"
	// Unavailable: a dependency does not answer.
	Unavailable Code = "unavailable"
	// Internal: a bug in wrenferry.
	Internal Code = "internal"
)

// Fault is an error with its kind, the object concerned and a remedy.
type Fault struct {
	Code    Code
	Object  string
	Problem string
	Remedy  string
	// RetryAfter is when a repeated request may succeed; 0 if nothing is known of that.
	RetryAfter time.Duration

	cause error
}

// New returns a fault. The remedy is empty if none is known.
func New(code Code, object, problem, remedy string) *Fault {
	return &Fault{Code: code, Object: object, Problem: problem, Remedy: remedy}
}

// WithCause returns a copy of the fault that wraps err as its cause.
func (f *Fault) WithCause(err error) *Fault {
	c := *f
	c.cause = eris.Wrap(err, f.Problem)
	return &c
}

// WithRetryAfter returns a copy of the fault that says when to ask again.
func (f *Fault) WithRetryAfter(wait time.Duration) *Fault {
	c := *f
	c.RetryAfter = wait
	return &c
}

// RetryAfterOf returns the RetryAfter of the Fault in err's chain, or 0 if there is none.
func RetryAfterOf(err error) time.Duration {
	var f *Fault
	if errors.As(err, &f) {
		return f.RetryAfter
	}
	return 0
}

// Error returns one line with the object, the problem, the cause and the remedy.
func (f *Fault) Error() string {
	line := f.Problem
	if f.Object != "" {
		line = f.Object + ": " + line
	}
	if f.cause != nil {
		line += " (" + eris.Cause(f.cause).Error() + ")"
	}
	if f.Remedy != "" {
		line += "; " + f.Remedy
	}
	return line
}

// Unwrap returns the cause, for errors.Is and errors.As.
func (f *Fault) Unwrap() error { return f.cause }

// CodeOf returns the code of the Fault in err's chain, or Internal if there is none.
func CodeOf(err error) Code {
	var f *Fault
	if errors.As(err, &f) {
		return f.Code
	}
	return Internal
}

// Status returns the HTTP status for a code.
func Status(code Code) int {
	switch code {
	case BadInput:
		return http.StatusBadRequest
	case NotFound:
		return http.StatusNotFound
	case Conflict:
		return http.StatusConflict
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case NotRun, Unavailable:
		return http.StatusServiceUnavailable
	case Unknown:
		return http.StatusGatewayTimeout
	case Internal:
		return http.StatusInternalServerError
	}
	return http.StatusInternalServerError
}
