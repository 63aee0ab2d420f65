package rows

import (
	"hash/fnv"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/table"
)

// The tables of the fleet's rows, with part and key of each row. All rows of a job share one part, so that one
// transaction can write them. The part depends only on the job's id.
//
//	anchor            PART ID    the job's home cell, or a tombstone; makes the id unique
//	spec.CELL         PART ID    the job as submitted, until it has ended
//	progress.CELL     PART ID    the job's progress, written by its cell's leader
//	progress.CELL     PART ID/N  a further piece of it, if one row is too small
//	cancel.CELL       PART ID    a cancel that the leader has not carried out yet, or a
//	                             tombstone that it has to remove
//	cancel.CELL       PART ID.C  delegated tasks that cell C returns, until the job's end
//	fence             PART CELL  the epoch that may write a cell's progress
//	lead              -    CELL  the cell's leadership
//	roster            -    CELL  the workers that may hold the cell's runs
//	roster            -    CELL/N  a further piece of them, if one row is too small
//	host              hosts  HALL/NAME  entry hosts that are relays
const (
	AnchorTable    = "anchor"
	specPrefix     = "spec."
	progressPrefix = "progress."
	cancelPrefix   = "cancel."
	// returnSeparator separates job id and cell in the key of a return. No job id contains it: ids are 16 hex digits.
	returnSeparator = "."
	FenceTable      = "fence"
	LeadTable       = "lead"
	RosterTable     = "roster"
	HostTable       = "host"
)

// JobParts is the number of parts over which jobs are spread. The table applies the writes of one part one after
// another, so a slow table takes only a few writes per second and part. A new leader reads three ranges per part, all
// at the same time.
const JobParts = 16

// JobPart returns the part that all rows of a job share.
func JobPart(id string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash never fails
	return PartName(int(h.Sum32() % JobParts))
}

// PartName returns the name of the part with the given number.
func PartName(n int) string { return "p" + strconv.Itoa(n) }

// SpecTable returns the table of a cell's jobs as submitted. A job's row stays there until the job has ended.
func SpecTable(cell string) string { return specPrefix + cell }

// ProgressTable returns the table in which a cell's leader records the progress of its jobs.
func ProgressTable(cell string) string { return progressPrefix + cell }

// CancelTable returns the table of cancels and returned tasks that wait for a cell's leader.
func CancelTable(cell string) string { return cancelPrefix + cell }

// AnchorKey returns the key of a job's anchor.
func AnchorKey(id string) table.Key {
	return table.Key{Table: AnchorTable, Part: JobPart(id), Key: id}
}

// SpecKey returns the key of a job's specification.
func SpecKey(cell, id string) table.Key {
	return table.Key{Table: SpecTable(cell), Part: JobPart(id), Key: id}
}

// ProgressKey returns the key of a job's progress.
func ProgressKey(cell, id string) table.Key {
	return table.Key{Table: ProgressTable(cell), Part: JobPart(id), Key: id}
}

// CancelKey returns the key of a job's cancel.
func CancelKey(cell, id string) table.Key {
	return table.Key{Table: CancelTable(cell), Part: JobPart(id), Key: id}
}

// ReturnKey returns the key of the row by which a target cell returns delegated tasks of a job to its home cell. The
// row is in the table of cancels, whose changes the home cell's leader reads anyway.
func ReturnKey(home, id, from string) table.Key {
	return table.Key{Table: CancelTable(home), Part: JobPart(id), Key: id + returnSeparator + from}
}

// IsReturn returns whether a row in the table of cancels returns delegated tasks.
func IsReturn(k table.Key) bool { return strings.Contains(k.Key, returnSeparator) }

// FenceKey returns the key of a cell's fence in one part.
func FenceKey(cell, part string) table.Key {
	return table.Key{Table: FenceTable, Part: part, Key: cell}
}

// LeadKey returns the key of a cell's leadership.
func LeadKey(cell string) table.Key { return table.Key{Table: LeadTable, Key: cell} }

// RosterKey returns the key of a cell's recorded membership, which is in the same part as its leadership row.
func RosterKey(cell string) table.Key { return table.Key{Table: RosterTable, Key: cell} }

// HostPart is the part of the rows of entry hosts. It is not that of the leadership rows: a part takes its writes one
// after the other, and renewals of a leadership must not queue behind those of many hosts.
const HostPart = "hosts"

// hostSeparator separates hall and name in the key of an entry host, afterHostSeparator is the next character.
const (
	hostSeparator      = "/"
	afterHostSeparator = "0"
)

// HostKey returns the key of an entry host.
func HostKey(hall, name string) table.Key {
	return table.Key{Table: HostTable, Part: HostPart, Key: hall + hostSeparator + name}
}

// HostsOf returns the range of the entry hosts of a hall.
func HostsOf(hall string) table.Range {
	return table.Range{Table: HostTable, Part: HostPart, From: hall + hostSeparator, To: hall + afterHostSeparator}
}

// Row encodes a message as a row to write.
func Row(key table.Key, m proto.Message) table.Row {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		value = nil // can't happen for a generated message; an empty value causes an error where it is read
	}
	return table.Row{Key: key, Value: value}
}

// Read decodes a row's value into a message.
func Read(r table.Row, m proto.Message) error {
	if err := proto.Unmarshal(r.Value, m); err != nil {
		return fault.New(fault.Internal, r.Table+"/"+r.Key.Key, "the row can't be read", "was it written by another version?").WithCause(err)
	}
	return nil
}
