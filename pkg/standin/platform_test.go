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

// Found beside a load of 28 on 8 processors (TestBadInput: "it never came about: servers
// are known"): lists that were set within the lag came to be told in another order, and
// the last one told, without the servers, stayed.
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

// The list follows the time and waits for no timer: one without a lag is right when it is read at once.
func TestHostListWithoutLagShowsNewHostsAtOnce(t *testing.T) {
	t.Parallel()
	p := standin.NewPlatform(0)
	for round := range 200 {
		name := fmt.Sprintf("host-%d", round)
		p.SetHosts([]*wire.Host{{Name: name}})
		must.Eq(t, []string{name}, listedHosts(t, p), must.Sprintf("round %d", round))
	}
}

// Until its lag is over the list is as it was, also where several are set meanwhile.
func TestHostListIsUnchangedUntilTheLagHasPassed(t *testing.T) {
	t.Parallel()
	p := standin.NewPlatform(time.Hour)
	for range 3 {
		p.SetHosts([]*wire.Host{{Name: "early"}})
		must.SliceEmpty(t, listedHosts(t, p))
	}
}

// listedHosts names the hosts that the platform lists.
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
