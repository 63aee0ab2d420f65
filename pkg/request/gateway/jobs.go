package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"

	"github.com/wrenferry/wrenferry/pkg/capacity"
	"github.com/wrenferry/wrenferry/pkg/connection/platform"
	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/version/settings"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// A job is accepted once its row is in the table. The row is inserted under the caller's key if that
// key is absent, so submitting again with the same key is always safe, at any entry host.

// TasksParameter is the query parameter with the number of a job's tasks.
const TasksParameter = "tasks"

const (
	// maxTasks is the maximum number of a job's tasks. It keeps the end of a job within one transaction.
	maxTasks = 500
	// maxCommitTries is the number of times that a commit is sent before its outcome is reported
	// as unknown.
	maxCommitTries = 2
)

var keyPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.:-]{0,127}$`)

// JobView is the JSON description of a job for its caller.
type JobView struct {
	Key       string `json:"key"`
	State     string `json:"state"`
	Reason    string `json:"reason,omitempty"`
	Result    string `json:"result,omitempty"`
	Hall      string `json:"hall"`
	Service   string `json:"service"`
	Kind      string `json:"kind"`
	Tasks     int32  `json:"tasks"`
	DoneTasks int32  `json:"doneTasks"`
}

// ViewOf returns the description of a job for its caller.
func ViewOf(j *wire.JobRow) JobView {
	return JobView{
		Key: j.GetKey(), State: strings.ToLower(strings.TrimPrefix(j.GetState().String(), "JOB_STATE_")),
		Reason: j.GetReason(), Result: j.GetResult(), Hall: j.GetHall(), Service: j.GetService(), Kind: j.GetKind(),
		Tasks: j.GetTasks(), DoneTasks: j.GetDoneTasks(),
	}
}

// serveSubmit accepts a job, wakes the leader of its hall and writes the answer.
func (g *Gateway) serveSubmit(w http.ResponseWriter, r *http.Request) {
	tree := g.settings.Current()
	row, err := g.submit(w, r, tree)
	if err != nil {
		g.count("jobs.refused." + string(fault.CodeOf(err)))
		faultAnswer(err).write(w, tree.Version())
		return
	}
	g.count("jobs.accepted")
	g.peers.WakeLeader(row.GetHall())
	writeJob(w, http.StatusAccepted, row, tree.Version())
}

// writeJob writes a job's description as the answer.
func writeJob(w http.ResponseWriter, status int, row *wire.JobRow, version int64) {
	body, err := json.Marshal(ViewOf(row))
	if err != nil {
		faultAnswer(fault.New(fault.Internal, row.GetKey(), "the job can't be shown", "").WithCause(err)).write(w, version)
		return
	}
	header := http.Header{"Content-Type": []string{"application/json"}}
	Answer{Outcome: Done, Status: status, Header: header, Body: append(body, '\n')}.write(w, version)
}

// submit checks a submission and inserts its job.
func (g *Gateway) submit(w http.ResponseWriter, r *http.Request, tree *settings.Tree) (*wire.JobRow, error) {
	kind, err := tree.Kind(r.PathValue("service"), r.PathValue("kind"))
	if err != nil {
		return nil, err
	}
	if kind.Type != settings.TypeJob {
		return nil, wrongTypeError(kind)
	}
	if state := g.settings.ServiceState(kind.Service); state == Draining || state == Stopped {
		return nil, fault.New(fault.NotRun, kind.Service, "the service is "+state, "an operator must start it")
	}
	row, err := g.newJob(w, r, kind, tree.Version())
	if err != nil {
		return nil, err
	}
	return g.insert(r.Context(), row)
}

// newJob checks a submission and returns the row for its job.
func (g *Gateway) newJob(w http.ResponseWriter, r *http.Request, kind settings.Kind, version int64) (*wire.JobRow, error) {
	key := r.Header.Get(KeyHeader)
	if !keyPattern.MatchString(key) {
		return nil, fault.New(fault.BadInput, KeyHeader, fmt.Sprintf("%q is not a key", key),
			"send a key of your own that is unique to the job: letters, digits and _.:- , at most 128")
	}
	tasks, err := taskCount(r)
	if err != nil {
		return nil, err
	}
	body, err := readBody(w, r, kind.MaxBody)
	if err != nil {
		return nil, err
	}
	if err := g.checkSize(kind); err != nil {
		return nil, err
	}
	hash := sha256.Sum256(fmt.Appendf(nil, "%s/%s/%d/%s", kind.Service, kind.Name, tasks, body))
	return &wire.JobRow{
		Key: key, Service: kind.Service, Kind: kind.Name, Body: body, BodyHash: hex.EncodeToString(hash[:]),
		Tasks: tasks, State: wire.JobState_JOB_STATE_ACCEPTED, Hall: g.hall,
		AcceptedUnixMs: g.now().UnixMilli(), SettingsVersion: version, Size: kind.Size,
	}, nil
}

// taskCount returns the number of tasks that a submission asks for, 1 by default.
func taskCount(r *http.Request) (int32, error) {
	text := r.URL.Query().Get(TasksParameter)
	if text == "" {
		return 1, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maxTasks {
		return 0, fault.New(fault.BadInput, TasksParameter, fmt.Sprintf("%q is not a number of tasks", text),
			fmt.Sprintf("ask for 1 to %d", maxTasks))
	}
	return int32(n), nil
}

// checkSize refuses a job that no listed worker could ever run.
func (g *Gateway) checkSize(kind settings.Kind) error {
	g.mu.Lock()
	largest := g.largestWorker
	g.mu.Unlock()
	size, maximum := capacity.FromWire(kind.Size), capacity.FromWire(largest)
	if largest == nil || size.Fits(maximum) {
		return nil
	}
	return fault.New(fault.BadInput, kind.Service+"/"+kind.Name,
		fmt.Sprintf("a task of %+v is larger than any host (%+v)", size, maximum), "lower its size in the settings")
}

// insert writes the job if its key is absent. If the key is present, insert returns the existing
// job, or fault.Conflict if that job has another body.
func (g *Gateway) insert(ctx context.Context, row *wire.JobRow) (*wire.JobRow, error) {
	inbox := rows.Inbox(row.GetHall(), rows.Submit, row.GetKey())
	req := &wire.CommitRequest{
		Conditions: []*wire.Condition{{Key: rows.Job(row.GetKey())}},
		Puts: []*wire.Row{
			rows.Put(rows.Job(row.GetKey()), row),
			rows.Put(inbox, &wire.InboxRow{Verb: rows.Submit, JobKey: row.GetKey()}),
		},
	}
	reply, err := g.commitWithRetries(ctx, req)
	if err != nil {
		return nil, err
	}
	if len(reply.GetConflicts()) == 0 {
		return row, nil
	}
	known, err := g.readJob(ctx, row.GetKey())
	if err != nil {
		return nil, fault.New(fault.Unknown, row.GetKey(), "the key is taken and its job can't be read", "ask again with the same key").WithCause(err)
	}
	if known.GetBodyHash() != row.GetBodyHash() {
		return nil, fault.New(fault.Conflict, row.GetKey(), "the key belongs to a job with another body", "use a new key for a new job")
	}
	return known, nil
}

// commitWithRetries sends a commit up to maxCommitTries times. Repeating one is harmless: an insert
// has a condition, and other puts write the same rows. It returns fault.NotRun if no try left this
// host, and otherwise fault.Unknown.
func (g *Gateway) commitWithRetries(ctx context.Context, req *wire.CommitRequest) (*wire.CommitReply, error) {
	var reply *wire.CommitReply
	var err error
	sent := false
	for range maxCommitTries {
		reply, err = g.table.Commit(ctx, req)
		if err == nil {
			return reply, nil
		}
		sent = sent || fault.CodeOf(err) != fault.NotRun
	}
	if !sent {
		return nil, fault.New(fault.NotRun, "table", "it can't be reached", "ask again with the same key").WithCause(err)
	}
	return nil, fault.New(fault.Unknown, "table", "it did not answer", "ask again with the same key").WithCause(err)
}

// readJob reads a job's row. The error is fault.NotFound if there is none.
func (g *Gateway) readJob(ctx context.Context, key string) (*wire.JobRow, error) {
	row, err := platform.ReadOne(ctx, g.table, rows.Job(key))
	if err != nil {
		return nil, err
	}
	if row == nil {
		return nil, fault.New(fault.NotFound, key, "no job has this key", "check the key, or submit the job")
	}
	job := &wire.JobRow{}
	return job, rows.Decode(row, job)
}

func (g *Gateway) serveJob(w http.ResponseWriter, r *http.Request) {
	version := g.settings.Current().Version()
	job, err := g.readJob(r.Context(), r.PathValue("key"))
	if err != nil {
		faultAnswer(err).write(w, version)
		return
	}
	writeJob(w, http.StatusOK, job, version)
}

// serveCancel requests the cancel of a job and writes the job as it is now.
func (g *Gateway) serveCancel(w http.ResponseWriter, r *http.Request) {
	version := g.settings.Current().Version()
	job, err := g.EndJob(r.Context(), r.PathValue("key"), rows.Cancel, nil)
	if err != nil {
		faultAnswer(err).write(w, version)
		return
	}
	g.count("jobs.cancels")
	writeJob(w, http.StatusAccepted, job, version)
}

// EndJob requests through the inbox of the job's hall that its leader performs verb on the job, a cancel
// or a drain. An operator's audit row, if given, is written in the same transaction.
func (g *Gateway) EndJob(ctx context.Context, key, verb string, audit *wire.Row) (*wire.JobRow, error) {
	job, err := g.readJob(ctx, key)
	if err != nil {
		return nil, err
	}
	if job.GetState() > wire.JobState_JOB_STATE_CLAIMED {
		return job, nil // the job has ended, so there is nothing to cancel
	}
	req := &wire.CommitRequest{
		Puts: []*wire.Row{rows.Put(rows.Inbox(job.GetHall(), verb, key), &wire.InboxRow{Verb: verb, JobKey: key})},
	}
	if audit != nil {
		req.Puts = append(req.Puts, audit)
	}
	if _, err := g.commitWithRetries(ctx, req); err != nil {
		return nil, err
	}
	g.peers.WakeLeader(job.GetHall())
	return job, nil
}
