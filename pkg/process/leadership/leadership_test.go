package leadership_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/leadership"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// A claim over a row that the host has not read anew loses, since the condition names an old revision.
func TestRowIsReadAgainAfterLostClaim(t *testing.T) {
	t.Parallel()
	const takeover = 3 * time.Second
	now := time.Unix(1000, 0)
	seen := leadership.New("a", "host", "address").WithObserved(now, nil, 0)
	must.True(t, seen.MayClaim(now, takeover), must.Sprint("there is no row"))
	lost := seen.WithClaiming().WithLost()
	must.False(t, lost.MayClaim(now, takeover))
	read := lost.WithObserved(now, &wire.LeaderRow{Hall: "a", Epoch: 1}, 5)
	must.False(t, read.MayClaim(now, takeover))
	must.True(t, read.MayClaim(now.Add(2*takeover), takeover))
}
