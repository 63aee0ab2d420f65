package rows

import (
	"hash/fnv"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/table"
)

// The tables of the fleet's own rows. A job's rows share one part, so that one
// transaction can hold them; the part follows from the job's id alone.
//
//	anchor            PART ID    where the job went: what makes an id unique
//	spec.CELL         PART ID    the job as it was sent, until it has ended
//	progress.CELL     PART ID    what became of it; its cell's leader writes it
//	cancel.CELL       PART ID    a cancel that the leader has not carried out
//	cancel.CELL       PART ID.C  tasks that cell C gives back, until the job's end
//	fence             PART CELL  the epoch that may write a cell's progress
//	lead              -    CELL  who leads a cell
//	roster            -    CELL  the workers that may hold the cell's runs
//	host              -    NAME  entry hosts
const (
	AnchorTable    = "anchor"
	specPrefix     = "spec."
	progressPrefix = "progress."
	cancelPrefix   = "cancel."
	// returnMark stands in no job's id, which is 16 hex digits.
	returnMark  = "."
	FenceTable  = "fence"
	LeadTable   = "lead"
	RosterTable = "roster"
	HostTable   = "host"
)

// JobParts is over how many parts jobs are spread. A part takes its writes in turn, so that
// a slow table takes a few a second and part. A leader that takes over reads three ranges a
// part, all at once.
const JobParts = 16

// JobPart is the part that all rows of a job share.
func JobPart(id string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash never fails
	return PartName(int(h.Sum32() % JobParts))
}

// PartName names the part with the given number.
func PartName(n int) string { return "p" + strconv.Itoa(n) }

// SpecTable is where a cell's jobs stand as they were sent, until they end.
func SpecTable(cell string) string { return specPrefix + cell }

// ProgressTable is where a cell's leader records what became of its jobs.
func ProgressTable(cell string) string { return progressPrefix + cell }

// CancelTable is where cancels wait for a cell's leader.
func CancelTable(cell string) string { return cancelPrefix + cell }

// AnchorKey is the key of a job's anchor.
func AnchorKey(id string) table.Key {
	return table.Key{Table: AnchorTable, Part: JobPart(id), Key: id}
}

// SpecKey is the key of a job's specification.
func SpecKey(cell, id string) table.Key {
	return table.Key{Table: SpecTable(cell), Part: JobPart(id), Key: id}
}

// ProgressKey is the key of a job's progress.
func ProgressKey(cell, id string) table.Key {
	return table.Key{Table: ProgressTable(cell), Part: JobPart(id), Key: id}
}

// CancelKey is the key of a job's cancel.
func CancelKey(cell, id string) table.Key {
	return table.Key{Table: CancelTable(cell), Part: JobPart(id), Key: id}
}

// ReturnKey is the key of what a cell gives back of a job to the cell that keeps it.
// It stands among the cancels, which that cell's leader follows anyway.
func ReturnKey(home, id, from string) table.Key {
	return table.Key{Table: CancelTable(home), Part: JobPart(id), Key: id + returnMark + from}
}

// IsReturn says whether a row among the cancels is one that gives tasks back.
func IsReturn(k table.Key) bool { return strings.Contains(k.Key, returnMark) }

// FenceKey is the key of a cell's fence in one part.
func FenceKey(cell, part string) table.Key {
	return table.Key{Table: FenceTable, Part: part, Key: cell}
}

// LeadKey is the key of a cell's leadership.
func LeadKey(cell string) table.Key { return table.Key{Table: LeadTable, Key: cell} }

// RosterKey is the key of a cell's roster. It shares the part of the leadership row.
func RosterKey(cell string) table.Key { return table.Key{Table: RosterTable, Key: cell} }

// HostKey is the key of an entry host.
func HostKey(name string) table.Key { return table.Key{Table: HostTable, Key: name} }

// Row encodes a message as a row to write.
func Row(key table.Key, m proto.Message) table.Row {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		value = nil // a message of ours always encodes; an empty row fails where it is read
	}
	return table.Row{Key: key, Value: value}
}

// Read decodes a row into a message.
func Read(r table.Row, m proto.Message) error {
	if err := proto.Unmarshal(r.Value, m); err != nil {
		return fault.New(fault.Internal, r.Table+"/"+r.Key.Key, "the row can't be read", "was it written by another version?").WithCause(err)
	}
	return nil
}
