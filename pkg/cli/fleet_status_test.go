package cli_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/cli"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/fleet"
	"github.com/wrenferry/wrenferry/pkg/process/poisontask"
)

// statusHost serves the status of a host that leads one cell, and returns its address.
func statusHost(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/status" {
			http.NotFound(w, r)
			return
		}
		_ = json.NewEncoder(w).Encode(fleet.Status{
			Host: "entry-1", Hall: "hall-a", Ready: true, Manifest: 7, StoreAgeMs: 12,
			Led: map[string]cell.Counts{"hall-a": {Jobs: 3, Waiting: 4, Running: 50, Workers: 22, Usable: 21, Aside: 1}},
		})
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestFleetStatusShowsEachHost(t *testing.T) {
	t.Parallel()
	var out, errs bytes.Buffer
	code := cli.Main([]string{"fleet", "status", statusHost(t), "127.0.0.1:1"}, nil, &out, &errs)
	must.Eq(t, 0, code, must.Sprint(errs.String()))
	must.StrContains(t, out.String(), "entry-1")
	must.StrContains(t, out.String(), "22, 21 usable, 1 aside")
	must.StrContains(t, out.String(), "no answer")
}

func TestFleetStatusFailsIfNoHostAnswers(t *testing.T) {
	t.Parallel()
	var out, errs bytes.Buffer
	must.Eq(t, 5, cli.Main([]string{"fleet", "status", "127.0.0.1:1"}, nil, &out, &errs))
	must.StrContains(t, errs.String(), "no host answered")
}

func TestFleetStatusPrintsJSON(t *testing.T) {
	t.Parallel()
	var out, errs bytes.Buffer
	must.Eq(t, 0, cli.Main([]string{"fleet", "status", statusHost(t), "-o", "json"}, nil, &out, &errs))
	var list []struct{ Status fleet.Status }
	must.NoError(t, json.Unmarshal(out.Bytes(), &list))
	must.Eq(t, 50, list[0].Status.Led["hall-a"].Running)
}

// suspectsHost serves the suspects of a host that leads a cell with one implicated task. It
// returns its address and the paths of the calls that cleared the evidence.
func suspectsHost(t *testing.T) (address string, cleared *[]string) {
	t.Helper()
	cleared = &[]string{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodDelete && r.URL.Path == "/suspects/ab.0.0.1":
			*cleared = append(*cleared, r.URL.Path)
		case r.Method == http.MethodGet && r.URL.Path == "/suspects":
			_ = json.NewEncoder(w).Encode(map[string][]cell.Suspect{"hall-a": {{
				Task: "ab.0.0.1", Level: "on trial", Crashes: []poisontask.Crash{
					{Worker: "w1", Run: 7, Age: 10 * time.Millisecond, Company: 4}, {Worker: "w2", Run: 9, Outside: true, Lives: 5},
				},
			}}})
		default:
			http.NotFound(w, r)
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), cleared
}

func TestFleetSuspectsListsCrashesByTask(t *testing.T) {
	t.Parallel()
	address, _ := suspectsHost(t)
	var out, errs bytes.Buffer
	must.Eq(t, 0, cli.Main([]string{"fleet", "suspects", address, "127.0.0.1:1"}, nil, &out, &errs), must.Sprint(errs.String()))
	must.StrContains(t, out.String(), "ab.0.0.1")
	must.StrContains(t, out.String(), "on trial")
	must.StrContains(t, out.String(), "5 workers fell silent then")
	must.Eq(t, 5, cli.Main([]string{"fleet", "suspects", "127.0.0.1:1"}, nil, &out, &errs))
}

func TestFleetClearReachesTheLeaderThatHoldsEvidence(t *testing.T) {
	t.Parallel()
	address, cleared := suspectsHost(t)
	var out, errs bytes.Buffer
	must.Eq(t, 0, cli.Main([]string{"fleet", "clear", "ab.0.0.1", "127.0.0.1:1", address}, nil, &out, &errs), must.Sprint(errs.String()))
	must.SliceLen(t, 1, *cleared)
	must.NotEq(t, 0, cli.Main([]string{"fleet", "clear", "cd.0.0.1", address}, nil, &out, &errs))
}
