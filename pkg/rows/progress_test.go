package rows_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

const wideJob = "00000000000000aa"

// progressOf returns the progress of a job of which a number of tasks have saved checkpoints, which compress badly.
func progressOf(saved int) *wire.JobProgress {
	u := &wire.UnitProgress{Step: 1}
	for i := range saved {
		sum := sha256.Sum256(fmt.Append(nil, i))
		u.Notes = append(u.Notes, &wire.TaskNote{Index: int32(i), Checkpoint: hex.EncodeToString(sum[:8])})
	}
	return &wire.JobProgress{Id: wideJob, Phase: wire.JobPhase_JOB_PHASE_RUNNING, Home: "home", Units: []*wire.UnitProgress{u}}
}

// versioned returns rows as a transaction of the given version leaves them.
func versioned(list []table.Row, version int64) []table.Row {
	for i := range list {
		list[i].Version = version
	}
	return list
}

// Guards against the progress of a wide job that the table refuses for ever, because it is larger than a row.
func TestProgressOfWideJobsFitsIntoRows(t *testing.T) {
	t.Parallel()
	for _, saved := range []int{0, 1, 2_000, 2_700, 10_000, 30_000} {
		p := progressOf(saved)
		list := versioned(rows.ProgressRows("hall", p), 7)
		for _, r := range list {
			must.LessEq(t, 65536, len(r.Value), must.Sprintf("%d tasks", saved))
		}
		first := &wire.JobProgress{}
		must.NoError(t, rows.Read(list[0], first))
		must.Eq(t, wire.JobPhase_JOB_PHASE_RUNNING, first.GetPhase(), must.Sprint("hosts read the phase from the first row"))
		read := rows.ReadProgress(list)
		must.Len(t, 1, read)
		must.NoError(t, read[0].Err)
		must.Eq(t, rows.ProgressKey("hall", wideJob), read[0].First.Key)
		read[0].Rows = 0
		must.True(t, proto.Equal(p, read[0].JobProgress), must.Sprintf("%d tasks", saved))
	}
}

// Guards against a transaction that counts as carried out because the first row is as it was to be, while another row is not.
func TestFirstProgressRowDiffersIfAnyDoes(t *testing.T) {
	t.Parallel()
	p := progressOf(10_000)
	before := rows.ProgressRows("hall", p)
	notes := p.GetUnits()[0].GetNotes()
	notes[len(notes)-1].Checkpoint = "0123456789abcdef"
	after := rows.ProgressRows("hall", p)
	must.Greater(t, 1, len(before))
	must.NotEq(t, before[0].Value, after[0].Value)
}

// Rows of another transaction, or a missing one, must not count as progress.
func TestDamagedProgressIsAnError(t *testing.T) {
	t.Parallel()
	whole := func() []table.Row { return versioned(rows.ProgressRows("hall", progressOf(10_000)), 7) }
	must.Greater(t, 1, len(whole()))
	older := whole()
	older[1].Version = 6
	damaged := whole()
	damaged[0] = rows.Row(damaged[0].Key, &wire.JobProgress{Id: wideJob, Packed: []byte("not packed")})
	for name, list := range map[string][]table.Row{"missing": whole()[:1], "of an earlier transaction": older, "not packed": damaged} {
		read := rows.ReadProgress(list)
		must.Len(t, 1, read, must.Sprint(name))
		must.Error(t, read[0].Err, must.Sprint(name))
	}
}
