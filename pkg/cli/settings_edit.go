package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/google/uuid"
	"github.com/spf13/pflag"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/operators"
	"github.com/wrenferry/wrenferry/pkg/version/settings"
)

var settingsEdit = verb{
	path: "settings edit", args: "FILE", min: 1, max: 1,
	short:   "Put a new tree in force, everywhere, within seconds",
	long:    "settings edit checks a whole tree (- is standard input) and has it accepted as the\nnext version. --base names the version that you started from; if another edit came\nin since, yours is refused and nothing changes. If no answer comes, ask again with\nthe edit id that the message names: nothing is accepted twice.",
	example: "  wrenferry settings show > tree.jsonc\n  $EDITOR tree.jsonc\n  wrenferry settings edit tree.jsonc --base 3",
	flags: func(set *pflag.FlagSet, f *flags) {
		dryRunFlag(set, f)
		set.Int64Var(&f.base, "base", -1, "the version that you started from (default: the one in force)")
		set.StringVar(&f.editID, "edit-id", "", "the id of an edit that had no answer")
	},
	run: runSettingsEdit,
}

func runSettingsEdit(ctx context.Context, s *session) error {
	text, err := s.readFile(s.args[0])
	if err != nil {
		return err
	}
	if _, err := settings.Parse(s.args[0], text); err != nil {
		return err
	}
	base := s.flags.base
	if base < 0 {
		view, err := s.settingsVersion(ctx, 0)
		if err != nil {
			return err
		}
		base = view.Version
	}
	if s.reportDryRun("put %s in force as version %d", s.args[0], base+1) {
		return nil
	}
	return s.sendEdit(ctx, operators.EditBody{Text: text, Base: base, EditID: firstNonEmpty(s.flags.editID, uuid.NewString())})
}

func (s *session) sendEdit(ctx context.Context, edit operators.EditBody) error {
	body, err := json.Marshal(edit)
	if err != nil {
		return fault.New(fault.Internal, "edit", "can't be encoded", "").WithCause(err)
	}
	var view operators.SettingsView
	if err := s.client.call(ctx, http.MethodPut, "/v1/settings", nil, body, &view); err != nil {
		if fault.CodeOf(err) == fault.Unknown {
			return fault.New(fault.Unknown, "settings", err.Error(),
				fmt.Sprintf("repeat with --base %d --edit-id %s", edit.Base, edit.EditID))
		}
		return err
	}
	return show(s, view, "", func(v operators.SettingsView) [][]any {
		return [][]any{{fmt.Sprintf("version %d accepted", v.Version)}}
	})
}
