package promises_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/operators"
	"github.com/wrenferry/wrenferry/pkg/request/gateway"
)

// answer is the response to a caller, or the error of the call.
type answer struct {
	status  int
	outcome string
	reason  string
	body    []byte
	header  http.Header
	err     error
}

var callers = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 30 * time.Second}

func call(method, url string, header map[string]string, body string) answer {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.GetBody = nil // the transport must not repeat a call: retries are the caller's decision
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := callers.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return answer{
		status: resp.StatusCode, outcome: resp.Header.Get(gateway.OutcomeHeader),
		reason: resp.Header.Get(gateway.ReasonHeader), body: text, header: resp.Header, err: err,
	}
}

func (e *entry) request(kind, key, body string, header ...string) answer {
	h := map[string]string{gateway.KeyHeader: key}
	for i := 0; i+1 < len(header); i += 2 {
		h[header[i]] = header[i+1]
	}
	return call(http.MethodPost, "http://"+e.callers+"/v1/requests/desk/"+kind, h, body)
}

// submit submits a job, with retries until it is accepted.
func (f *fleet) submit(e *entry, kind, key, body string, tasks int) {
	f.t.Helper()
	f.until("job "+key+" accepted", func() bool {
		url := fmt.Sprintf("http://%s/v1/jobs/desk/%s?tasks=%d", e.callers, kind, tasks)
		a := call(http.MethodPost, url, map[string]string{gateway.KeyHeader: key}, body)
		return a.err == nil && a.status == http.StatusAccepted
	})
}

func (e *entry) job(key string) gateway.JobView {
	var v gateway.JobView
	a := call(http.MethodGet, "http://"+e.callers+"/v1/jobs/"+key, nil, "")
	_ = json.Unmarshal(a.body, &v)
	return v
}

func (f *fleet) awaitJob(e *entry, key, state string) {
	f.t.Helper()
	f.until("job "+key+" "+state, func() bool { return e.job(key).State == state })
}

func (e *entry) status() operators.Status {
	var s operators.Status
	a := call(http.MethodGet, "http://"+e.operators+"/v1/status", nil, "")
	_ = json.Unmarshal(a.body, &s)
	return s
}

// edit submits settings to an entry host as an edit of the version base.
func (e *entry) edit(text string, base int64, id string) answer {
	body, _ := json.Marshal(operators.EditBody{Text: text, Base: base, EditID: id})
	return call(http.MethodPut, "http://"+e.operators+"/v1/settings", map[string]string{operators.ActorHeader: id}, string(body))
}

// leader waits until an entry host leads a hall and returns its name.
func (f *fleet) leader(hall string) string {
	f.t.Helper()
	found := ""
	f.until("a leader in hall "+hall, func() bool {
		for name, e := range f.entries {
			if e.hall == hall && e.process != nil && e.status().Leading {
				found = name
				return true
			}
		}
		return false
	})
	return found
}

// settings are the settings of most tests. Their durations are short, so that leases expire within
// a test.
const settings = `{
	"lease": "1500ms", "takeover": "600ms", "tenure": "5s", "patience": "2s",
	"teams": {"photo": {"services": {"desk": {
		"deadline": "5s", "keyWindow": "10s",
		"kinds": {
			"thumb": {"repeatable": true},
			"bill": {"repeatable": false},
			"ingest": {"type": "job", "repeatable": true, "priority": 3, "millicores": 1000, "memoryMB": 500},
			"billed": {"type": "job", "repeatable": false, "priority": 3, "millicores": 1000, "memoryMB": 500},
			"urgent": {"type": "job", "repeatable": true, "priority": 9, "millicores": 4000, "memoryMB": 500},
			"huge": {"type": "job", "millicores": 900000},
			"feed": {"type": "stream"}
		}
	}}}}
}`

// ready submits the settings and waits until all entry hosts have them and each hall has a leader.
func (f *fleet) ready() {
	f.t.Helper()
	for _, e := range f.entries {
		f.until("settings accepted", func() bool {
			a := e.edit(f.settingsText, 0, "setup")
			return a.status == http.StatusOK || a.status == http.StatusConflict
		})
		break
	}
	f.awaitVersion(1)
	for _, hall := range f.halls {
		f.leader(hall)
	}
}

func (f *fleet) awaitVersion(version int64) {
	f.t.Helper()
	for name, e := range f.entries {
		f.until(fmt.Sprintf("version %d at %s", version, name), func() bool { return e.status().Settings >= version })
	}
}
