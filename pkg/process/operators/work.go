package operators

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/pkg/connection/platform"
	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/request/gateway"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Handlers for services, jobs, the audit trail, and explanations.

// --------------------------------------------------------------- services

func (s *Server) listServices(*http.Request) ([]gateway.ServiceView, error) {
	views := s.Gateway.View()
	slices.SortFunc(views, func(a, b gateway.ServiceView) int { return cmp.Compare(a.Service, b.Service) })
	return views, nil
}

// stateByVerb maps each verb for a service to the state that it sets.
var stateByVerb = map[string]string{
	"start": gateway.Started,
	"drain": gateway.Draining,
	"stop":  gateway.Stopped,
}

// ServiceState is the state of a service after a verb was applied to it.
type ServiceState struct {
	Service string `json:"service"`
	State   string `json:"state"`
}

// setServiceState sets the state of a service in the table.
func (s *Server) setServiceState(r *http.Request) (ServiceState, error) {
	name, verb := r.PathValue("name"), r.PathValue("verb")
	state, ok := stateByVerb[verb]
	if !ok {
		return ServiceState{}, fault.New(fault.NotFound, verb, "no such verb for a service", "use start, drain or stop")
	}
	if !s.Settings.Current().HasService(name) {
		return ServiceState{}, fault.New(fault.NotFound, name, "no such service in the settings", "wrenferry service list shows them")
	}
	now := time.Now()
	_, err := s.Table.Commit(r.Context(), &wire.CommitRequest{Puts: []*wire.Row{
		rows.Put(rows.Service(name), &wire.ServiceRow{Name: name, State: state}),
		auditRow(now, requestActor(r), "service "+verb, name, state),
	}})
	if err != nil {
		return ServiceState{}, fault.New(fault.Unknown, name, "the table did not answer", "ask again: the verb may be repeated").WithCause(err)
	}
	return ServiceState{name, state}, nil
}

// ------------------------------------------------------------------- jobs

// jobPageSize is the maximum number of jobs in one listing.
const jobPageSize = 1000

// listJobs returns the first jobPageSize jobs by key, after the key that the query names.
func (s *Server) listJobs(r *http.Request) ([]gateway.JobView, error) {
	reply, err := s.Table.Read(r.Context(), &wire.ReadRequest{Prefix: "job/", After: rows.Job(r.URL.Query().Get("after")), Limit: jobPageSize})
	if err != nil {
		return nil, err
	}
	views := make([]gateway.JobView, 0, len(reply.GetRows()))
	for _, row := range reply.GetRows() {
		job := &wire.JobRow{}
		if err := rows.Decode(row, job); err != nil {
			return nil, err
		}
		views = append(views, gateway.ViewOf(job))
	}
	return views, nil
}

// inboxVerbByVerb maps each verb for a job to the verb in the inbox row for the job's leader.
var inboxVerbByVerb = map[string]string{"stop": rows.Cancel, "drain": rows.Drain}

// endJob asks the leader of a job's hall to cancel or drain the job.
func (s *Server) endJob(r *http.Request) (gateway.JobView, error) {
	key, verb := r.PathValue("key"), r.PathValue("verb")
	inboxVerb, ok := inboxVerbByVerb[verb]
	if !ok {
		return gateway.JobView{}, fault.New(fault.NotFound, verb, "no such verb for a job", "use drain or stop")
	}
	job, err := s.Gateway.EndJob(r.Context(), key, inboxVerb, auditRow(time.Now(), requestActor(r), "job "+verb, key, ""))
	if err != nil {
		return gateway.JobView{}, err
	}
	return gateway.ViewOf(job), nil
}

// ------------------------------------------------------------------ audit

// AuditView is one line of "wrenferry audit".
type AuditView struct {
	At     time.Time `json:"at"`
	Actor  string    `json:"actor"`
	Verb   string    `json:"verb"`
	Object string    `json:"object"`
	Detail string    `json:"detail"`
}

// listAudit returns the audit rows that match the query's actor, object and age.
func (s *Server) listAudit(r *http.Request) ([]AuditView, error) {
	query := r.URL.Query()
	list, err := platform.ReadAll(r.Context(), s.Table, rows.AuditPrefix)
	if err != nil {
		return nil, err
	}
	since := time.Time{}
	if text := query.Get("since"); text != "" {
		span, err := time.ParseDuration(text)
		if err != nil {
			return nil, fault.New(fault.BadInput, "since", fmt.Sprintf("%q is not a span of time", text), "write for example 2h")
		}
		since = time.Now().Add(-span)
	}
	views := []AuditView{}
	for _, row := range list {
		a := &wire.AuditRow{}
		if err := rows.Decode(row, a); err != nil {
			return nil, err
		}
		v := AuditView{time.UnixMilli(a.GetAtUnixMs()), a.GetActor(), a.GetVerb(), a.GetObject(), a.GetDetail()}
		if v.matches(query.Get("actor"), query.Get("object"), since) {
			views = append(views, v)
		}
	}
	return views, nil
}

// matches reports whether the row has the actor and object, where given, and is not older than since.
func (v AuditView) matches(actor, object string, since time.Time) bool {
	return (actor == "" || v.Actor == actor) && (object == "" || v.Object == object) && !v.At.Before(since)
}

// ---------------------------------------------------------------- explain

// explain returns the facts about a name, oldest first: those that the leaders of all halls hold and, if the name is a
// service or SERVICE/KIND, those of this entry host.
func (s *Server) explain(r *http.Request) ([]FactView, error) {
	name := r.PathValue("name")
	facts := s.explainService(name)
	if s.Control.Status().Leading {
		own, err := s.Control.Explain(r.Context(), name)
		if err != nil {
			return nil, err
		}
		for _, f := range own {
			facts = append(facts, FactView{f.At, s.Hall, f.Object, string(f.Reason), f.Detail})
		}
	}
	for _, a := range s.Peers.Explain(r.Context(), name) {
		for _, f := range a.GetFacts() {
			facts = append(facts, FactView{time.UnixMilli(f.GetAtUnixMs()), a.GetHall(), f.GetObject(), f.GetReason(), f.GetDetail()})
		}
	}
	if len(facts) == 0 {
		return s.explainEndedJob(r, name)
	}
	slices.SortStableFunc(facts, func(a, b FactView) int { return a.At.Compare(b.At) })
	return facts, nil
}

// explainEndedJob returns the state in the table of a job that no leader has in memory. It returns NotFound if the
// table has no such job.
func (s *Server) explainEndedJob(r *http.Request, name string) ([]FactView, error) {
	row, err := platform.ReadOne(r.Context(), s.Table, rows.Job(name))
	if err != nil {
		return nil, err
	}
	if row == nil {
		return nil, fault.New(fault.NotFound, name, "nothing is known by this name", "give a job's key, a task, a worker, a hall, a service, or SERVICE/KIND")
	}
	job := &wire.JobRow{}
	if err := rows.Decode(row, job); err != nil {
		return nil, err
	}
	v := gateway.ViewOf(job)
	return []FactView{{time.Now(), v.Hall, "job/" + name, "now", strings.TrimSpace(v.State + " " + v.Reason)}}, nil
}

// explainService returns the state of a service at this entry host and, if the name is SERVICE/KIND, the settings of
// the kind.
func (s *Server) explainService(name string) []FactView {
	now := time.Now()
	var facts []FactView
	for _, v := range s.Gateway.View() {
		if v.Service == name || strings.HasPrefix(name, v.Service+"/") {
			facts = append(facts, FactView{
				now, s.Hall, "service/" + v.Service, "now",
				fmt.Sprintf("%s; %d servers listed, %d take new work; %d requests wait at %s", v.State, v.Servers, v.Open, v.Queued, s.Name),
			})
		}
	}
	service, kindName, found := strings.Cut(name, "/")
	if !found {
		return facts
	}
	if k, err := s.Settings.Current().Kind(service, kindName); err == nil {
		facts = append(facts, FactView{
			now, s.Hall, name, "settings",
			fmt.Sprintf("version %d: a %s, deadline %s, repeatable %t, priority %d, routed by %s", s.Settings.Current().Version(),
				k.Type, k.Deadline, k.Repeatable, k.Priority, k.RoutePolicy),
		})
	}
	return facts
}
