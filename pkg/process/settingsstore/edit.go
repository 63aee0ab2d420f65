package settingsstore

import (
	"context"
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/connection/platform"
	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/version/settings"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Each edit has an id. A client that got no answer repeats the edit with the same id and learns whether it was
// accepted, so no edit is accepted twice.

// maxEditAttempts is the number of times that an edit is attempted while it fails with fault.Unavailable or
// fault.NotRun. After that, the operator gets an error that says that the outcome is unknown.
const maxEditAttempts = 3

// Edit is an operator's replacement of the whole settings tree.
type Edit struct {
	Text  string
	Base  int64 // the version that the operator edited
	ID    string
	Actor string
}

// Edit checks a new tree, commits it as the version after e.Base, and offers it to the peers. It returns the row of the
// accepted version, also if an earlier attempt with the same id committed it. It returns a Conflict if the version in
// force is not e.Base, and Unknown if the outcome is not known. In the model (model/settings.pml): Operator.edit.
func (s *Store) Edit(ctx context.Context, now time.Time, e Edit) (*wire.SettingsRow, error) {
	if _, err := settings.Parse("settings", e.Text); err != nil {
		return nil, err
	}
	var err error
	for range maxEditAttempts {
		var row *wire.SettingsRow
		row, err = s.tryEdit(ctx, now, e)
		if err == nil {
			if s.Accept(row) {
				s.peers.Offer(row)
			}
			return row, nil
		}
		if fault.CodeOf(err) != fault.Unavailable && fault.CodeOf(err) != fault.NotRun {
			return nil, err
		}
	}
	return nil, fault.New(fault.Unknown, "settings", "the table did not answer; the edit may have been accepted",
		"ask again with the same edit id: "+e.ID).WithCause(err)
}

// tryEdit attempts an edit once. It returns Unavailable if another edit is committed at the same time.
func (s *Store) tryEdit(ctx context.Context, now time.Time, e Edit) (*wire.SettingsRow, error) {
	currentRow, err := platform.ReadOne(ctx, s.table, rows.SettingsCurrent)
	if err != nil {
		return nil, err
	}
	inForce := &wire.SettingsRow{}
	if currentRow != nil {
		if err := rows.Decode(currentRow, inForce); err != nil {
			return nil, err
		}
	}
	if accepted, err := s.acceptedEdit(ctx, inForce, e); accepted != nil || err != nil {
		return accepted, err
	}
	if inForce.GetVersion() != e.Base {
		return nil, conflictError(inForce, e)
	}
	row := &wire.SettingsRow{
		Version: e.Base + 1, Body: e.Text, EditId: e.ID, Actor: e.Actor, AtUnixMs: now.UnixMilli(),
	}
	reply, err := s.table.Commit(ctx, editCommit(currentRow.GetRevision(), row))
	if err != nil {
		return nil, err
	}
	if len(reply.GetConflicts()) > 0 {
		return nil, fault.New(fault.Unavailable, "settings", "another edit came first", "")
	}
	return row, nil
}

// acceptedEdit returns the version after e.Base if an edit with e's id created it, else nil. Only that version can be
// e's, since an edit is committed as the version after its base.
func (s *Store) acceptedEdit(ctx context.Context, inForce *wire.SettingsRow, e Edit) (*wire.SettingsRow, error) {
	if inForce.GetVersion() <= e.Base {
		return nil, nil
	}
	row, err := platform.ReadOne(ctx, s.table, rows.History(e.Base+1))
	if err != nil || row == nil {
		return nil, err
	}
	out := &wire.SettingsRow{}
	if err := rows.Decode(row, out); err != nil {
		return nil, err
	}
	if out.GetEditId() != e.ID {
		return nil, nil
	}
	return out, nil
}

// editCommit returns the transaction that makes row the current version. It fails if the current version's revision has
// changed. It writes the history and audit rows, too.
func editCommit(revision int64, row *wire.SettingsRow) *wire.CommitRequest {
	return &wire.CommitRequest{
		Conditions: []*wire.Condition{{Key: rows.SettingsCurrent, Revision: revision}},
		Puts: []*wire.Row{
			rows.Put(rows.SettingsCurrent, row),
			rows.Put(rows.History(row.GetVersion()), row),
			rows.Put(rows.Audit(row.GetAtUnixMs(), row.GetEditId()), &wire.AuditRow{
				AtUnixMs: row.GetAtUnixMs(), Actor: row.GetActor(), Verb: "settings edit", Object: "settings",
				Detail: fmt.Sprintf("version %d", row.GetVersion()),
			}),
		},
	}
}

// conflictError returns the error for an edit whose base is no longer the current version.
func conflictError(inForce *wire.SettingsRow, e Edit) error {
	return fault.New(fault.Conflict, "settings",
		fmt.Sprintf("version %d by %s has come in since version %d, from which this edit started", inForce.GetVersion(), inForce.GetActor(), e.Base),
		"wrenferry settings diff shows what changed; edit again from the new version")
}
