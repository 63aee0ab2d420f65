package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// The limits that PROTOCOL.md and the settings on DEPLOY.md set for the platform's store.
const (
	maxTxEntries = 100
	maxTxBytes   = 1 << 20
	rowBytes     = 65536
	pageRows     = 500
	txTime       = 8 * time.Millisecond
	readTime     = 4 * time.Millisecond
)

// row is the JSON of a row of the store.
type row struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"private-key"`
	Value []byte `json:"value,omitempty"`
	Ver   int64  `json:"ver"`
	Gone  bool   `json:"gone,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r row) key() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// store stands in for the platform's metadata store. A part takes its writes in turn.
type store struct {
	rec     *record
	address string
	mu      sync.Mutex
	rows    map[rowKey]row
	changes []row
	ver     int64
	start   time.Time
	changed chan struct{}
	parts   map[string]*sync.Mutex
	down    bool
	// late returns by how much a writing call is done late, in which case it gets no answer; 0: it is done and answered.
	late     func() time.Duration
	tooLarge int
	channels *silentListener
	// slow multiplies the time that calls take; 0 and 1: they take the usual time.
	slow int
}

type txMessage struct {
	Expected []row `json:"expected-revision"`
	Put      []row `json:"put"`
	Remove   []row `json:"remove"`
}

func newStore(rec *record) *store {
	s := &store{rec: rec, rows: map[rowKey]row{}, start: time.Now(), changed: make(chan struct{}), parts: map[string]*sync.Mutex{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.serveTx)
	mux.HandleFunc("GET /rows-get", s.serveGet)
	mux.HandleFunc("GET /rows-feed", s.serveFeed)
	l := listen()
	s.address = l.Addr().String()
	_, s.channels = serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isDown() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	}))
	return s
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cantRun("no free port: %v", err)
	}
	return l
}

// serve serves a port until the server is closed. channels can be made silent.
func serve(l net.Listener, h http.Handler) (server *http.Server, channels *silentListener) {
	server, channels = &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}, &silentListener{Listener: l}
	go func() { _ = server.Serve(channels) }()
	return server, channels
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// setDown makes the store refuse all calls with 503, or serve again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	s.down = down
	s.mu.Unlock()
	s.rec.add("platform's store down: %v", down)
}

// remove removes a row of the runners' or the operator's.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.removeRow(rowKey{table: table, key: key})
	s.notify()
}

// put writes a row as the operator and the runners do.
func (s *store) put(table, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		cantRun("row %s: %v", key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.putRow(row{Table: table, Key: key, Value: b})
	s.notify()
}

func (s *store) putRow(r row) {
	r.Ver = s.ver
	s.rows[r.key()] = r
	s.changes = append(s.changes, r)
}

func (s *store) removeRow(k rowKey) {
	if r, ok := s.rows[k]; ok {
		delete(s.rows, k)
		s.changes = append(s.changes, row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Gone: true})
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

type rowsAnswer struct {
	Rows  []row `json:"rows"`
	More  bool  `json:"more"`
	Ver   int64 `json:"ver"`
	NowMs int64 `json:"now_ms"`
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, more bool, ver int64) {
	if rows == nil {
		rows = []row{}
	}
	writeJSON(w, status, rowsAnswer{Rows: rows, More: more, Ver: ver, NowMs: time.Since(s.start).Milliseconds()})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) part(name string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[name] == nil {
		s.parts[name] = &sync.Mutex{}
	}
	return s.parts[name]
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx txMessage
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	size := 0
	for _, p := range tx.Put {
		size += len(p.Value)
		if len(p.Value) > rowBytes {
			s.mu.Lock()
			s.tooLarge++
			n := s.tooLarge
			s.mu.Unlock()
			if n <= 3 || n%50 == 0 {
				s.rec.add("store refuses a transaction (400): row %s %s has %d bytes, row_bytes is %d (number %d)", p.Table, p.Key, len(p.Value), rowBytes, n)
			}
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	all := append(append(append([]row(nil), tx.Expected...), tx.Put...), tx.Remove...)
	if len(all) == 0 || len(all) > maxTxEntries || size > maxTxBytes {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, each := range all {
		if each.Part != all[0].Part {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if span := s.lateness(); span > 0 {
		s.rec.line("store: a call of %d rows is not answered, and done in %d ms", len(all), span.Milliseconds())
		time.AfterFunc(span, func() {
			status, _, _ := s.commit(tx)
			s.rec.line("store: a call that was not answered is done %d ms late: %d, puts %s", span.Milliseconds(), status, keysOf(tx.Put))
		})
		<-r.Context().Done() // the caller gives up
		return
	}
	status, rows, ver := s.commit(tx)
	s.answer(w, status, rows, false, ver)
}

func (s *store) slowness() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(1, s.slow)
}

func (s *store) setSlow(x int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = x
}

func (s *store) setLate(late func() time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = late
}

func (s *store) lateness() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.late == nil {
		return 0
	}
	return s.late()
}

func keysOf(rows []row) string {
	text := ""
	for _, r := range rows {
		text += " " + r.Table + "/" + r.Key
	}
	return text
}

// commit does a transaction whose entries share a part.
func (s *store) commit(tx txMessage) (status int, rows []row, ver int64) {
	all := append(append(append([]row(nil), tx.Expected...), tx.Put...), tx.Remove...)
	part := s.part(all[0].Part)
	part.Lock()
	defer part.Unlock()
	time.Sleep(txTime * time.Duration(s.slowness()))
	s.mu.Lock()
	for _, e := range tx.Expected {
		if s.rows[e.key()].Ver != e.Ver {
			var now []row
			for _, e := range tx.Expected {
				cur, ok := s.rows[e.key()]
				if !ok {
					cur = row{Table: e.Table, Part: e.Part, Key: e.Key}
				}
				now = append(now, cur)
			}
			ver := s.ver
			s.mu.Unlock()
			return http.StatusPreconditionFailed, now, ver
		}
	}
	s.ver++
	for _, p := range tx.Put {
		s.putRow(p)
	}
	for _, p := range tx.Remove {
		s.removeRow(p.key())
	}
	s.notify()
	ver = s.ver
	s.mu.Unlock()
	return http.StatusOK, nil, ver
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := pageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(n, pageRows)
	}
	time.Sleep(readTime * time.Duration(s.slowness()))
	s.mu.Lock()
	var list []row
	for _, each := range s.rows {
		if each.Table == q.Get("table") && each.Part == q.Get("part") && each.Key >= q.Get("start-key") &&
			(q.Get("target-version") == "" || each.Key < q.Get("target-version")) {
			list = append(list, each)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	n, bytes := 0, 0
	for n < len(list) && n < limit && (n == 0 || bytes+len(list[n].Value)*4/3 < maxTxBytes) {
		bytes += len(list[n].Value) * 4 / 3
		n++
	}
	s.answer(w, http.StatusOK, list[:n], n < len(list), ver)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("depends-on"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var list []row
		from := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Ver > after })
		for _, c := range s.changes[from:] {
			if c.Table == q.Get("table") {
				list = append(list, c)
			}
		}
		changed, ver := s.changed, s.ver
		s.mu.Unlock()
		if len(list) > 0 || wait == 0 {
			s.answer(w, http.StatusOK, list, false, ver)
			return
		}
		select {
		case <-changed:
		case <-end:
			wait = 0
		case <-r.Context().Done():
			return
		}
		if s.isDown() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
}
