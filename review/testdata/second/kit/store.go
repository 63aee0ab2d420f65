// Package kit holds the stand-ins of the second review: the platform's store and list of machines, runners, clients, a
// proxy, and the start of the real entry hosts. The stand-ins do what the users' pages say, and nothing else unless a case
// disturbs them.
package kit

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Row is a row of the store, as it stands in bodies.
type Row struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"private-key"`
	Value []byte `json:"value,omitempty"`
	Ver   int64  `json:"ver"`
	Gone  bool   `json:"gone,omitempty"`
}

type rowID struct{ table, part, key string }

func (r Row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// Tx is the body of a writing call.
type Tx struct {
	Expected []Row `json:"expected-revision"`
	Put      []Row `json:"put"`
	Remove   []Row `json:"remove"`
}

// Puts reports whether the transaction writes a row of a table with the given key.
func (t Tx) Puts(key string) bool {
	for _, r := range t.Put {
		if r.Key == key {
			return true
		}
	}
	return false
}

// Fate is what becomes of a writing call.
type Fate struct {
	// Late is how much later the call is done; it is then not answered.
	Late time.Duration
}

const (
	historyLength = 20 * time.Second
	pageRows      = 500
	writeTime     = 8 * time.Millisecond
	readTime      = 4 * time.Millisecond
)

type change struct {
	row Row
	at  time.Time
}

// Store is a stand-in of the platform's store.
type Store struct {
	Address string
	server  *http.Server

	mu      sync.Mutex
	rows    map[rowID]Row
	changes []change
	dropped int64
	ver     int64
	start   time.Time
	changed chan struct{}
	fate    func(Tx) *Fate
}

// NewStore starts a store on a loopback address.
func NewStore() *Store {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	s := &Store{Address: l.Addr().String(), rows: map[rowID]Row{}, start: time.Now(), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.tx)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-parts", s.parts)
	mux.HandleFunc("GET /rows-feed", s.feed)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }()
	return s
}

// Disturb sets what decides on the fate of writing calls; nil, or a nil fate, disturbs nothing.
func (s *Store) Disturb(fate func(Tx) *Fate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fate = fate
}

// Put writes a row with an empty part, as the operator and runners do, and returns its version.
func (s *Store) Put(table, key string, value any) int64 {
	encoded, err := json.Marshal(value)
	Must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.put(Row{Table: table, Key: key, Value: encoded})
	s.notify()
	return s.ver
}

// Remove drops a row with an empty part.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, there := s.rows[rowID{table, "", key}]; !there {
		return
	}
	s.ver++
	s.remove(rowID{table, "", key})
	s.notify()
}

func (s *Store) put(r Row) {
	r.Ver = s.ver
	s.rows[r.id()] = r
	s.changes = append(s.changes, change{r, time.Now()})
}

func (s *Store) remove(id rowID) {
	if _, there := s.rows[id]; there {
		delete(s.rows, id)
		s.changes = append(s.changes, change{Row{Table: id.table, Part: id.part, Key: id.key, Ver: s.ver, Gone: true}, time.Now()})
	}
}

func (s *Store) notify() {
	for len(s.changes) > 0 && time.Since(s.changes[0].at) > historyLength {
		s.dropped = s.changes[0].row.Ver
		s.changes = s.changes[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

type rowsAnswer struct {
	Rows  []Row   `json:"rows"`
	More  bool    `json:"more"`
	Ver   int64   `json:"ver"`
	NowMs float64 `json:"now_ms"`
}

// answer writes an answer; the lock is held by the caller only while a is made.
func (s *Store) answer(w http.ResponseWriter, status int, a rowsAnswer) {
	if a.Rows == nil {
		a.Rows = []Row{}
	}
	Reply(w, status, a)
}

func (s *Store) now() float64 { return float64(time.Since(s.start).Microseconds()) / 1000 }

func (s *Store) tx(w http.ResponseWriter, r *http.Request) {
	var t Tx
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Expected)+len(t.Put)+len(t.Remove) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	parts := map[string]bool{}
	for _, list := range [][]Row{t.Expected, t.Put, t.Remove} {
		for _, each := range list {
			parts[each.Part] = true
		}
	}
	if len(parts) > 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	var fate *Fate
	if s.fate != nil {
		fate = s.fate(t)
	}
	s.mu.Unlock()
	if fate != nil {
		time.AfterFunc(fate.Late, func() { s.apply(t) })
		<-r.Context().Done() // the call gets no answer, and its channel says nothing more
		panic(http.ErrAbortHandler)
	}
	time.Sleep(writeTime)
	status, a := s.apply(t)
	s.answer(w, status, a)
}

func (s *Store) apply(t Tx) (int, rowsAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if s.rows[e.id()].Ver != e.Ver {
			a := rowsAnswer{Ver: s.ver, NowMs: s.now()}
			for _, each := range t.Expected {
				found, there := s.rows[each.id()]
				if !there {
					found = Row{Table: each.Table, Part: each.Part, Key: each.Key}
				}
				a.Rows = append(a.Rows, found)
			}
			return http.StatusPreconditionFailed, a
		}
	}
	s.ver++
	for _, p := range t.Put {
		s.put(p)
	}
	for _, p := range t.Remove {
		s.remove(p.id())
	}
	s.notify()
	return http.StatusOK, rowsAnswer{Ver: s.ver, NowMs: s.now()}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	limit := pageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(n, pageRows)
	}
	s.mu.Lock()
	var list []Row
	for id, each := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("start-key") && (q.Get("target-version") == "" || id.key < q.Get("target-version")) {
			list = append(list, each)
		}
	}
	a := rowsAnswer{Ver: s.ver, NowMs: s.now()}
	s.mu.Unlock()
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	bytes := 0
	for len(a.Rows) < min(limit, len(list)) && bytes < 1<<20 {
		a.Rows = append(a.Rows, list[len(a.Rows)])
		bytes += len(a.Rows[len(a.Rows)-1].Value)
	}
	a.More = len(a.Rows) < len(list)
	s.answer(w, http.StatusOK, a)
}

func (s *Store) parts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found := map[string]bool{}
	for id := range s.rows {
		if id.table == r.URL.Query().Get("table") && id.part > r.URL.Query().Get("depends-on") {
			found[id.part] = true
		}
	}
	ver, now := s.ver, s.now()
	s.mu.Unlock()
	list := make([]string, 0, len(found))
	for p := range found {
		list = append(list, p)
	}
	sort.Strings(list)
	Reply(w, http.StatusOK, map[string]any{"parts": list, "more": false, "ver": ver, "now_ms": now})
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("depends-on"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	deadline := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	time.Sleep(readTime)
	for {
		s.mu.Lock()
		if after < s.dropped {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		a := rowsAnswer{Ver: s.ver, NowMs: s.now()}
		for _, c := range s.changes {
			if c.row.Ver > after && c.row.Table == q.Get("table") {
				a.Rows = append(a.Rows, c.row)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(a.Rows) > 0 || wait == 0 {
			s.answer(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// Reply writes an answer with a JSON body.
func Reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has gone
}

// Must ends the program with 2, the case could not run, if there is an error.
func Must(err error) {
	if err != nil {
		CannotRun(err.Error())
	}
}
