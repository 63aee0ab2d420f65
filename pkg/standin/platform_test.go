package standin_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/wrenferry/wrenferry/pkg/connection/platform"
	"github.com/wrenferry/wrenferry/pkg/standin"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Guards against host lists published out of order: with a timer per list, lists set within
// the lag could be published in another order, and an earlier list without the servers
// stayed. Under load this made TestBadInput fail with "it never came about: servers are known".
func TestHostListEndsWithTheLastListSet(t *testing.T) {
	t.Parallel()
	p := standin.NewPlatform(time.Millisecond)
	for round := range 40 {
		last := ""
		for i := range 60 {
			last = fmt.Sprintf("host-%d-%d", round, i)
			p.SetHosts([]*wire.Host{{Name: last}})
		}
		time.Sleep(20 * time.Millisecond)
		answer := httptest.NewRecorder()
		p.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, platform.HostsPath, http.NoBody))
		list := &wire.HostList{}
		must.NoError(t, proto.Unmarshal(answer.Body.Bytes(), list))
		must.Len(t, 1, list.GetHosts())
		must.Eq(t, last, list.GetHosts()[0].GetName(), must.Sprintf("round %d", round))
	}
}

// The list is decided by the time and not by a timer: without a lag, a read directly after
// SetHosts returns the new list.
func TestHostListWithoutLagShowsNewHostsAtOnce(t *testing.T) {
	t.Parallel()
	p := standin.NewPlatform(0)
	for round := range 200 {
		name := fmt.Sprintf("host-%d", round)
		p.SetHosts([]*wire.Host{{Name: name}})
		must.Eq(t, []string{name}, listedHosts(t, p), must.Sprintf("round %d", round))
	}
}

// The list is unchanged until the lag has passed, also if several lists are set meanwhile.
func TestHostListIsUnchangedUntilTheLagHasPassed(t *testing.T) {
	t.Parallel()
	p := standin.NewPlatform(time.Hour)
	for range 3 {
		p.SetHosts([]*wire.Host{{Name: "early"}})
		must.SliceEmpty(t, listedHosts(t, p))
	}
}

// listedHosts returns the names of the hosts in the platform's host list.
func listedHosts(t *testing.T, p *standin.Platform) []string {
	t.Helper()
	answer := httptest.NewRecorder()
	p.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, platform.HostsPath, http.NoBody))
	list := &wire.HostList{}
	must.NoError(t, proto.Unmarshal(answer.Body.Bytes(), list))
	var names []string
	for _, h := range list.GetHosts() {
		names = append(names, h.GetName())
	}
	return names
}
