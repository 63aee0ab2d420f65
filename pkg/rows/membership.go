package rows

import (
	"google.golang.org/protobuf/proto"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// MembershipRows returns the rows of a cell's membership, which one transaction writes. One that is too large for a row is
// compressed, and spread over several rows if need be: after a loss of a hall, it names the workers of before beside those
// that have come back.
func MembershipRows(m *wire.CellRoster) []table.Row {
	key := RosterKey(m.GetCell())
	if proto.Size(m) <= maxPlain {
		return []table.Row{Row(key, m)}
	}
	var list []table.Row
	pieces := pack(Row(key, m).Value)
	for i, piece := range pieces {
		packed := &wire.CellRoster{Cell: m.GetCell(), Packed: piece}
		if i == 0 {
			packed.Rows = int32(len(pieces))
		}
		list = append(list, Row(pieceKey(key, i), packed))
	}
	return list
}

// MembershipRange returns the range that holds the rows of a cell's membership.
func MembershipRange(cell string) table.Range {
	key := RosterKey(cell)
	return table.Range{Table: key.Table, Part: key.Part, From: cell, To: cell + pieceSeparator + "~"}
}

// ReadMembership decodes a cell's membership from the rows of its range, which may hold rows of other cells and pieces of an
// earlier, larger membership. Without a row, the membership is empty. Its error is a fault of the code Internal.
func ReadMembership(cell string, list []table.Row) (*wire.CellRoster, error) {
	first, found := rowOf(list, RosterKey(cell))
	m := &wire.CellRoster{}
	if !found {
		return m, nil
	}
	if err := Read(first, m); err != nil || len(m.GetPacked()) == 0 {
		return m, err
	}
	packed := m.GetPacked()
	for n := 1; n < int(m.GetRows()); n++ {
		row, found := rowOf(list, pieceKey(RosterKey(cell), n))
		piece := &wire.CellRoster{}
		if !found || row.Version != first.Version || Read(row, piece) != nil {
			return m, fault.New(fault.Internal, row.Key.Key, "a piece of the membership is missing or of another one", "read it again")
		}
		packed = append(packed, piece.GetPacked()...)
	}
	unpacked := &wire.CellRoster{}
	return unpacked, readPacked(first, packed, unpacked)
}
