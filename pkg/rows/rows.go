// Package rows names the rows of the table and encodes them: each key that wrenferry writes is
// built here. This file is the map of the older table, fleet.go that of the platform's.
//
// Whoever reads or writes rows calls it. It decides nothing and makes no calls.
package rows

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// The rows of the older table:
//
//	settings/current        the settings version in force
//	settings/history/N      each version that was ever accepted
//	audit/TIME-ID           who changed what, written with the change
//	service/NAME            what operators ask of a service
//	job/KEY                 a caller's job
//	inbox/HALL/VERB.KEY     what a hall's leader has yet to pull in
//	task/HALL/KEY.N         one task; only its hall's leader writes it
//	worker/HALL/NAME        the incarnation that may be granted work
//	leader/HALL             the hall's leadership

// SettingsCurrent is the key of the version in force.
const SettingsCurrent = "settings/current"

// The prefixes that are scanned.
const (
	ServicePrefix = "service/"
	AuditPrefix   = "audit/"
	HistoryPrefix = "settings/history/"
)

// Leader is the key of a hall's leadership.
func Leader(hall string) string { return "leader/" + hall }

// Job is the key of a caller's job.
func Job(key string) string { return "job/" + key }

// Service is the key of what operators ask of a service.
func Service(name string) string { return ServicePrefix + name }

// History is the key of one settings version; they sort by number.
func History(version int64) string { return fmt.Sprintf("%s%012d", HistoryPrefix, version) }

// Audit is the key of an audit row; they sort by time.
func Audit(unixMS int64, id string) string { return fmt.Sprintf("%s%015d-%s", AuditPrefix, unixMS, id) }

// InboxPrefix is where a hall's inbox begins.
func InboxPrefix(hall string) string { return "inbox/" + hall + "/" }

// Inbox is the key of one inbox row. Cancels and drains
// sort before submits.
func Inbox(hall, verb, jobKey string) string { return InboxPrefix(hall) + verb + "." + jobKey }

// TaskPrefix is where a hall's tasks begin.
func TaskPrefix(hall string) string { return "task/" + hall + "/" }

// Task is the key of one task.
func Task(hall, id string) string { return TaskPrefix(hall) + id }

// WorkerPrefix is where a hall's registered workers begin.
func WorkerPrefix(hall string) string { return "worker/" + hall + "/" }

// Worker is the key of one registered worker.
func Worker(hall, name string) string { return WorkerPrefix(hall) + name }

// The verbs of an inbox row.
const (
	Submit = "submit"
	// Cancel stops all of a job; Drain lets what has started come to its end.
	Cancel = "cancel"
	Drain  = "drain"
)

// Put encodes a message as a row to write. Encoding a message of ours can't
// fail; if it ever does, the empty value fails loudly where it is read.
func Put(key string, m proto.Message) *wire.Row {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		value = nil
	}
	return &wire.Row{Key: key, Value: value}
}

// Decode reads a row into a message.
func Decode(r *wire.Row, m proto.Message) error {
	if err := proto.Unmarshal(r.GetValue(), m); err != nil {
		return fault.New(fault.Internal, r.GetKey(), "the row can't be read", "was it written by another version?").WithCause(err)
	}
	return nil
}
