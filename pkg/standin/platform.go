package standin

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/wrenferry/wrenferry/pkg/connection/platform"
	"github.com/wrenferry/wrenferry/pkg/connection/protohttp"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Platform is a stand-in for the platform: a transactional table in memory, an
// object store, and a host list that shows changes after a lag.
type Platform struct {
	faultSwitches
	mux *http.ServeMux

	mu       sync.Mutex
	keys     []string // sorted
	rows     map[string]*wire.Row
	revision int64
	objects  map[string][]byte
	listed   []*wire.Host
	pending  []pendingHosts // in the order of SetHosts calls
	listLag  time.Duration
	commits  int
	reads    int
}

// SetHostsPath is the path at which a test sets the hosts, as a wire.HostList.
const SetHostsPath = "/hosts/set"

// NewPlatform returns a platform whose host list shows changes after listLag.
func NewPlatform(listLag time.Duration) *Platform {
	p := &Platform{
		mux:     http.NewServeMux(),
		rows:    map[string]*wire.Row{},
		objects: map[string][]byte{},
		listLag: listLag,
	}
	p.mux.HandleFunc(platform.CommitPath, p.serveCommit)
	p.mux.HandleFunc(platform.ReadPath, p.serveRead)
	p.mux.HandleFunc(platform.HostsPath, p.serveHosts)
	p.mux.HandleFunc(SetHostsPath, p.serveSetHosts)
	p.mux.HandleFunc("PUT /objects/{name...}", p.servePutObject)
	p.mux.HandleFunc("GET /objects/{name...}", p.serveGetObject)
	p.mux.HandleFunc(FaultPath, p.serveSet)
	return p
}

// ServeHTTP serves the platform's interface, the host setter and the faults.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// ------------------------------------------------------------------ table

func (p *Platform) serveCommit(w http.ResponseWriter, r *http.Request) {
	req := &wire.CommitRequest{}
	if !p.admit(w, r) || protohttp.Receive(r, req) != nil {
		return
	}
	keys := changedKeys(req)
	reply := p.commit(req)
	if len(reply.GetConflicts()) == 0 && p.losesAnswer(keys) {
		dropConnection(w)
		return
	}
	_ = protohttp.Answer(w, reply)
}

// changedKeys returns the keys that a transaction puts or deletes.
func changedKeys(req *wire.CommitRequest) []string {
	var keys []string
	for _, row := range req.GetPuts() {
		keys = append(keys, row.GetKey())
	}
	return append(keys, req.GetDeletes()...)
}

// commit applies a transaction, or returns the keys whose conditions failed and changes
// nothing.
func (p *Platform) commit(req *wire.CommitRequest) *wire.CommitReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.commits++
	reply := &wire.CommitReply{}
	for _, c := range req.GetConditions() {
		if p.rows[c.GetKey()].GetRevision() != c.GetRevision() {
			reply.Conflicts = append(reply.Conflicts, c.GetKey())
		}
	}
	if len(reply.GetConflicts()) > 0 {
		return reply
	}
	p.revision++
	reply.Revision = p.revision
	for _, row := range req.GetPuts() {
		p.putRow(&wire.Row{Key: row.GetKey(), Value: row.GetValue(), Revision: p.revision})
	}
	for _, key := range req.GetDeletes() {
		p.deleteRow(key)
	}
	return reply
}

func (p *Platform) putRow(row *wire.Row) {
	if i, found := slices.BinarySearch(p.keys, row.GetKey()); !found {
		p.keys = slices.Insert(p.keys, i, row.GetKey())
	}
	p.rows[row.GetKey()] = row
}

func (p *Platform) deleteRow(key string) {
	if i, found := slices.BinarySearch(p.keys, key); found {
		p.keys = slices.Delete(p.keys, i, i+1)
		delete(p.rows, key)
	}
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	req := &wire.ReadRequest{}
	if !p.admit(w, r) || protohttp.Receive(r, req) != nil {
		return
	}
	_ = protohttp.Answer(w, p.read(req))
}

// read returns the rows of the requested keys, then those with the prefix, after the key
// "after" and up to the limit.
func (p *Platform) read(req *wire.ReadRequest) *wire.ReadReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	reply := &wire.ReadReply{}
	for _, key := range req.GetKeys() {
		if row := p.rows[key]; row != nil {
			reply.Rows = append(reply.Rows, row)
		}
	}
	if req.GetPrefix() == "" {
		return reply
	}
	from, found := slices.BinarySearch(p.keys, max(req.GetPrefix(), req.GetAfter()))
	if found && req.GetAfter() == p.keys[from] {
		from++
	}
	for _, key := range p.keys[from:] {
		if !strings.HasPrefix(key, req.GetPrefix()) || len(reply.GetRows()) >= int(req.GetLimit()) {
			break
		}
		reply.Rows = append(reply.Rows, p.rows[key])
	}
	return reply
}

// Counts returns the number of transactions and of reads so far.
func (p *Platform) Counts() (commits, reads int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.commits, p.reads
}

// ------------------------------------------------------------------ hosts

// pendingHosts is a host list that is shown from visibleAt on.
type pendingHosts struct {
	hosts     []*wire.Host
	visibleAt time.Time
}

// SetHosts replaces the hosts. The host list shows them after its lag.
func (p *Platform) SetHosts(hosts []*wire.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.publishDueHosts(now)
	p.pending = append(p.pending, pendingHosts{hosts: hosts, visibleAt: now.Add(p.listLag)})
}

// publishDueHosts makes the newest hosts whose lag has passed the visible list. It compares
// times and uses no timers, since a timer may fire late or after a later one.
func (p *Platform) publishDueHosts(now time.Time) {
	for len(p.pending) > 0 && !now.Before(p.pending[0].visibleAt) {
		p.listed, p.pending = p.pending[0].hosts, p.pending[1:]
	}
}

func (p *Platform) serveSetHosts(w http.ResponseWriter, r *http.Request) {
	list := &wire.HostList{}
	if protohttp.Receive(r, list) != nil {
		http.Error(w, "not a list of hosts", http.StatusBadRequest)
		return
	}
	p.SetHosts(list.GetHosts())
	_ = protohttp.Answer(w, &wire.HostList{})
}

func (p *Platform) serveHosts(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, r) {
		return
	}
	p.mu.Lock()
	p.publishDueHosts(time.Now())
	list := &wire.HostList{Hosts: p.listed}
	p.mu.Unlock()
	_ = protohttp.Answer(w, list)
}

// ---------------------------------------------------------------- objects

func (p *Platform) servePutObject(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, r) {
		return
	}
	var body [1 << 16]byte
	n, _ := r.Body.Read(body[:])
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[r.PathValue("name")] = slices.Clone(body[:n])
}

func (p *Platform) serveGetObject(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, r) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	body, ok := p.objects[r.PathValue("name")]
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(body)
}
