// Package rows builds the keys of all table rows that wrenferry writes and encodes their values.
// This file describes the rows of the older table, fleet.go those of the platform's table.
//
// All code that reads or writes rows uses it. The package does no I/O.
package rows

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// The rows of the older table:
//
//	settings/current        the settings version in effect
//	settings/history/N      each version that was ever accepted
//	audit/TIME-ID           author and content of a change, written with the change
//	service/NAME            the operators' settings for a service
//	job/KEY                 a caller's job
//	inbox/HALL/VERB.KEY     a request that the hall's leader has not taken in yet
//	task/HALL/KEY.N         one task; only its hall's leader writes it
//	worker/HALL/NAME        the worker's incarnation that may get work
//	leader/HALL             the hall's leadership

// SettingsCurrent is the key of the settings version in effect.
const SettingsCurrent = "settings/current"

// The key prefixes of range reads.
const (
	ServicePrefix = "service/"
	AuditPrefix   = "audit/"
	HistoryPrefix = "settings/history/"
)

// Leader returns the key of a hall's leadership.
func Leader(hall string) string { return "leader/" + hall }

// Job returns the key of a caller's job.
func Job(key string) string { return "job/" + key }

// Service returns the key of the operators' settings for a service.
func Service(name string) string { return ServicePrefix + name }

// History returns the key of one settings version. These keys sort by version number.
func History(version int64) string { return fmt.Sprintf("%s%012d", HistoryPrefix, version) }

// Audit returns the key of an audit row. These keys sort by time.
func Audit(unixMS int64, id string) string { return fmt.Sprintf("%s%015d-%s", AuditPrefix, unixMS, id) }

// InboxPrefix returns the key prefix of a hall's inbox.
func InboxPrefix(hall string) string { return "inbox/" + hall + "/" }

// Inbox returns the key of one inbox row. Cancels and drains sort before submits.
func Inbox(hall, verb, jobKey string) string { return InboxPrefix(hall) + verb + "." + jobKey }

// TaskPrefix returns the key prefix of a hall's tasks.
func TaskPrefix(hall string) string { return "task/" + hall + "/" }

// Task returns the key of one task.
func Task(hall, id string) string { return TaskPrefix(hall) + id }

// WorkerPrefix returns the key prefix of a hall's registered workers.
func WorkerPrefix(hall string) string { return "worker/" + hall + "/" }

// Worker returns the key of one registered worker.
func Worker(hall, name string) string { return WorkerPrefix(hall) + name }

// The verbs of an inbox row.
const (
	Submit = "submit"
	// Cancel stops all tasks of a job. Drain lets the started ones finish.
	Cancel = "cancel"
	Drain  = "drain"
)

// Put encodes a message as a row to write. Encoding a generated message can't fail. If it ever does, the row has an
// empty value, which causes an error where it is read.
func Put(key string, m proto.Message) *wire.Row {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		value = nil
	}
	return &wire.Row{Key: key, Value: value}
}

// Decode decodes a row's value into a message.
func Decode(r *wire.Row, m proto.Message) error {
	if err := proto.Unmarshal(r.GetValue(), m); err != nil {
		return fault.New(fault.Internal, r.GetKey(), "the row can't be read", "was it written by another version?").WithCause(err)
	}
	return nil
}
