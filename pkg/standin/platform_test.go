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
func TestTheListOfHostsEndsWithTheLastThatWasSet(t *testing.T) {
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
