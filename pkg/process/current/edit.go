package current

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

// Edits. Each carries an id of its own. Whoever gets no answer asks again with
// the same id and learns whether it was accepted; nothing is accepted twice.

// maxEditAttempts is how often an edit without an answer is looked into before the
// operator is told that nobody knows.
const maxEditAttempts = 3

// Edit is one operator's change of the tree.
type Edit struct {
	Text  string
	Base  int64 // the version that the operator started from
	ID    string
	Actor string
}

// Edit checks a new tree and has it accepted as the version after its base. In
// the model (model/settings.pml): Operator.edit.
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

func (s *Store) tryEdit(ctx context.Context, now time.Time, e Edit) (*wire.SettingsRow, error) {
	held, err := platform.ReadOne(ctx, s.table, rows.SettingsCurrent)
	if err != nil {
		return nil, err
	}
	present := &wire.SettingsRow{}
	if held != nil {
		if err := rows.Decode(held, present); err != nil {
			return nil, err
		}
	}
	if earlier, err := s.acceptedEdit(ctx, present, e); earlier != nil || err != nil {
		return earlier, err
	}
	if present.GetVersion() != e.Base {
		return nil, conflictError(present, e)
	}
	row := &wire.SettingsRow{
		Version: e.Base + 1, Body: e.Text, EditId: e.ID, Actor: e.Actor, AtUnixMs: now.UnixMilli(),
	}
	reply, err := s.table.Commit(ctx, editCommit(held.GetRevision(), row))
	if err != nil {
		return nil, err
	}
	if len(reply.GetConflicts()) > 0 {
		return nil, fault.New(fault.Unavailable, "settings", "another edit came first", "")
	}
	return row, nil
}

// acceptedEdit looks for an edit with this id among those accepted since its base.
func (s *Store) acceptedEdit(ctx context.Context, present *wire.SettingsRow, e Edit) (*wire.SettingsRow, error) {
	if present.GetVersion() <= e.Base {
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

func conflictError(present *wire.SettingsRow, e Edit) error {
	return fault.New(fault.Conflict, "settings",
		fmt.Sprintf("version %d by %s has come in since version %d, from which this edit started", present.GetVersion(), present.GetActor(), e.Base),
		"wrenferry settings diff shows what changed; edit again from the new version")
}
