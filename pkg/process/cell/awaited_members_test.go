package cell_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
)

// notesOf returns the notes of one kind, the newest last.
func (b *testCell) notesOf(kind cell.NoteKind) []cell.Note {
	var list []cell.Note
	for _, n := range b.notes {
		if n.Kind == kind {
			list = append(list, n)
		}
	}
	return list
}

// Once a second the log names the members that an unsettled cell waits for, and for how much longer.
func TestLogNamesAwaitedMembers(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	members := b.state.Members()
	b.silent["w03"] = true
	successor := newEmptyCell()
	successor.takeOverWith(b, 15*time.Second, members, lastingJob("00000000000000ee"))
	successor.notes = nil
	for range 25 {
		successor.step(100 * time.Millisecond)
	}
	lines := successor.notesOf(cell.NoteMembersAwaited)
	must.Len(t, 3, lines, must.Sprint("once a second"))
	last := lines[2]
	must.StrHasPrefix(t, "1 of 16 members: w03 (silent for ", last.Detail)
	must.Between(t, 12*time.Second, last.Left, 13*time.Second)
	must.False(t, strings.Contains(last.Detail, "w04"))
	for range 160 {
		successor.step(100 * time.Millisecond)
	}
	successor.notes = nil
	successor.step(2 * time.Second)
	must.SliceEmpty(t, successor.notesOf(cell.NoteMembersAwaited), must.Sprint("the cell has settled"))
}
