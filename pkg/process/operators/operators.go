// Package operators implements the HTTP interface for operators, which the command line uses: status, settings,
// services, jobs, hosts, audit, explanations, metrics and health.
//
// Every change is a transaction on the table that also writes the audit row of the change.
package operators

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/control"
	"github.com/wrenferry/wrenferry/pkg/process/hall"
	"github.com/wrenferry/wrenferry/pkg/process/settingsstore"
	"github.com/wrenferry/wrenferry/pkg/request/gateway"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Table is the part of the platform's table service that the interface calls.
type Table interface {
	Commit(ctx context.Context, req *wire.CommitRequest) (*wire.CommitReply, error)
	Read(ctx context.Context, req *wire.ReadRequest) (*wire.ReadReply, error)
}

// Control is the part of the control loop that the interface calls.
type Control interface {
	Status() *control.Status
	Explain(ctx context.Context, name string) ([]hall.Fact, error)
}

// Peers is the client of the other entry hosts that the interface calls.
type Peers interface {
	Explain(ctx context.Context, name string) []*wire.Answer
}

// ActorHeader is the HTTP header that holds the name of the operator who sends the request.
const ActorHeader = "Wrenferry-Actor"

// Server serves operators at one entry host. Hosts returns the last host list that the host has read.
type Server struct {
	Name     string
	Hall     string
	Table    Table
	Control  Control
	Peers    Peers
	Settings *settingsstore.Store
	Gateway  *gateway.Gateway
	Metrics  metrics.Registry
	Hosts    func() []*wire.Host

	ready atomic.Bool
}

// SetReady sets whether the readiness check succeeds, which decides whether the balancer sends callers to this host.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Routes registers the operators' paths on a mux.
func (s *Server) Routes(mux *http.ServeMux) {
	mux.HandleFunc("GET /healthz/live", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("live\n")) })
	mux.HandleFunc("GET /healthz/ready", s.serveReady)
	mux.HandleFunc("GET /metrics", s.serveMetrics)
	mux.HandleFunc("GET /v1/status", jsonHandler(s.status))
	mux.HandleFunc("GET /v1/hosts", jsonHandler(s.listHosts))
	mux.HandleFunc("GET /v1/settings", jsonHandler(s.showSettings))
	mux.HandleFunc("PUT /v1/settings", jsonHandler(s.editSettings))
	mux.HandleFunc("POST /v1/settings/check", jsonHandler(s.checkSettings))
	mux.HandleFunc("GET /v1/settings/history", jsonHandler(s.listHistory))
	mux.HandleFunc("GET /v1/settings/origins", jsonHandler(s.listOrigins))
	mux.HandleFunc("GET /v1/services", jsonHandler(s.listServices))
	mux.HandleFunc("POST /v1/services/{name}/{verb}", jsonHandler(s.setServiceState))
	mux.HandleFunc("GET /v1/job-list", jsonHandler(s.listJobs))
	mux.HandleFunc("POST /v1/job-list/{key}/{verb}", jsonHandler(s.endJob))
	mux.HandleFunc("GET /v1/audit", jsonHandler(s.listAudit))
	mux.HandleFunc("GET /v1/explain/{name...}", jsonHandler(s.explain))
}

// jsonHandler returns a handler that calls f and writes its result as JSON, or its error as a Problem.
func jsonHandler[T any](f func(r *http.Request) (T, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		result, err := f(r)
		status := http.StatusOK
		var body any = result
		mediaType := "application/json"
		if err != nil {
			code := fault.CodeOf(err)
			status = fault.Status(code)
			body = Problem{Type: "urn:wrenferry:" + string(code), Title: "refused", Status: status, Detail: err.Error(), Code: string(code)}
			mediaType = "application/problem+json"
		}
		w.Header().Set("Content-Type", mediaType)
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

// Problem is the response body of a failed request (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Code   string `json:"code"`
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.ready.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (s *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(s.Metrics, w)
}

// ----------------------------------------------------------------- status

// Status is the state of one entry host, as "wrenferry status" shows it. SettingsAgeMS is the time since the host last
// read the table, or negative if it has not read it yet.
type Status struct {
	Name          string                `json:"name"`
	Hall          string                `json:"hall"`
	Ready         bool                  `json:"ready"`
	Leading       bool                  `json:"leading"`
	Leader        string                `json:"leader"`
	LeaderAddress string                `json:"leaderAddress"`
	Epoch         int64                 `json:"epoch"`
	Settings      int64                 `json:"settingsVersion"`
	SettingsAgeMS int64                 `json:"settingsAgeMs"`
	Counts        hall.Counts           `json:"counts"`
	Services      []gateway.ServiceView `json:"services"`
}

func (s *Server) status(*http.Request) (Status, error) {
	c := s.Control.Status()
	return Status{
		Name: s.Name, Hall: s.Hall, Ready: s.ready.Load(), Leading: c.Leading,
		Leader: c.Leader.GetHolder(), LeaderAddress: c.Leader.GetAddress(), Epoch: c.Leader.GetEpoch(),
		Settings: s.Settings.Current().Version(), SettingsAgeMS: s.Settings.ConfirmedAge(time.Now()).Milliseconds(),
		Counts: c.Counts, Services: s.Gateway.View(),
	}, nil
}

// HostView is one line of "wrenferry hosts".
type HostView struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Hall    string `json:"hall"`
	Rack    string `json:"rack"`
	Service string `json:"service"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

func (s *Server) listHosts(*http.Request) ([]HostView, error) {
	list := s.Hosts()
	views := make([]HostView, 0, len(list))
	for _, h := range list {
		views = append(views, HostView{h.GetName(), h.GetRole(), h.GetHall(), h.GetRack(), h.GetService(), h.GetAddress(), h.GetLeaving()})
	}
	return views, nil
}

// FactView is one line of "wrenferry explain".
type FactView struct {
	At     time.Time `json:"at"`
	Hall   string    `json:"hall"`
	Object string    `json:"object"`
	Reason string    `json:"reason"`
	Detail string    `json:"detail"`
}

// ------------------------------------------------------------------ audit

// requestActor returns the operator's name from ActorHeader, or "unknown". The platform's balancer or the operator's
// command line sets the header, since wrenferry has no user accounts.
func requestActor(r *http.Request) string {
	if name := r.Header.Get(ActorHeader); name != "" {
		return name
	}
	return "unknown"
}

// auditRow returns the audit row of an operator's change, to be written in the transaction of the change.
func auditRow(now time.Time, actor, verb, object, detail string) *wire.Row {
	return rows.Put(rows.Audit(now.UnixMilli(), uuid.NewString()), &wire.AuditRow{
		AtUnixMs: now.UnixMilli(), Actor: actor, Verb: verb, Object: object, Detail: detail,
	})
}
