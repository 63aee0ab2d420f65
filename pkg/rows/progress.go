package rows

import (
	"crypto/sha256"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// ProgressRows returns the rows of a job's progress in a cell, which one transaction writes. One that is too large for a row, that of
// a job of thousands of tasks with checkpoints, is compressed, and spread over several rows if need be. The first row names
// phase, reason and home cell in any case, and whether the job has begun.
func ProgressRows(cell string, p *wire.JobProgress) []table.Row {
	key := ProgressKey(cell, p.GetId())
	if proto.Size(p) <= maxPlain {
		return []table.Row{Row(key, p)}
	}
	pieces, digest := pack(Row(key, p).Value), sha256.New()
	for _, piece := range pieces {
		_, _ = digest.Write(piece) // a hash never fails
	}
	list := []table.Row{Row(key, &wire.JobProgress{
		Id: p.GetId(), Phase: p.GetPhase(), Reason: p.GetReason(), Home: p.GetHome(), Begun: p.GetBegun(), Packed: pieces[0], Rows: int32(len(pieces)), Digest: digest.Sum(nil),
	})}
	for i, piece := range pieces[1:] {
		list = append(list, Row(pieceKey(key, i+1), &wire.JobProgress{Id: p.GetId(), Packed: piece}))
	}
	return list
}

// ProgressPieces returns the keys of the further rows of a job's progress in a cell, from the given row on.
func ProgressPieces(cell, id string, from, count int) []table.Key {
	var list []table.Key
	for n := max(1, from); n < count; n++ {
		list = append(list, pieceKey(ProgressKey(cell, id), n))
	}
	return list
}

// Progress is the progress of a job as its rows hold it.
type Progress struct {
	// First is the job's first row.
	First table.Row
	*wire.JobProgress
	// Err is why the rows can't be read, a fault of the code Internal, or nil.
	Err error
}

// ReadProgress decodes the progress of each job from the rows of a cell's table, in the order of the rows.
func ReadProgress(list []table.Row) []Progress {
	pieces := map[table.Key]table.Row{}
	var all []Progress
	for _, r := range list {
		if isPiece(r.Key) {
			pieces[r.Key] = r
		}
	}
	for _, r := range list {
		if !isPiece(r.Key) {
			p, err := readProgress(r, pieces)
			all = append(all, Progress{First: r, JobProgress: p, Err: err})
		}
	}
	return all
}

// readProgress decodes a job's progress from its first row and the further rows of all jobs.
func readProgress(first table.Row, pieces map[table.Key]table.Row) (*wire.JobProgress, error) {
	p := &wire.JobProgress{}
	if err := Read(first, p); err != nil || len(p.GetPacked()) == 0 {
		return p, err
	}
	packed := p.GetPacked()
	for n := 1; n < int(p.GetRows()); n++ {
		row, found := pieces[pieceKey(first.Key, n)]
		piece := &wire.JobProgress{}
		if !found || row.Version != first.Version || Read(row, piece) != nil {
			return nil, fault.New(fault.Internal, first.Table+"/"+row.Key.Key, fmt.Sprintf("row %d of the progress is missing or of another one", n), "read it again")
		}
		packed = append(packed, piece.GetPacked()...)
	}
	unpacked := &wire.JobProgress{}
	err := readPacked(first, packed, unpacked)
	unpacked.Rows = p.GetRows()
	return unpacked, err
}
