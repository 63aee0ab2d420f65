package cli

import (
	"context"
	"fmt"
	"net/url"

	"github.com/spf13/pflag"

	"github.com/wrenferry/wrenferry/pkg/process/operators"
	"github.com/wrenferry/wrenferry/pkg/version/settings"
)

var settingsShow = verb{
	path: "settings show", args: "[BRANCH]", max: 1,
	short:   "Show the settings in force, or what a branch inherits and from where",
	long:    "settings show prints the tree as it was written, comments included. With --origin\nit prints every setting in force at a branch (TEAM, TEAM/SERVICE or\nTEAM/SERVICE/KIND; none is the root) and the branch that it comes from.",
	example: "  wrenferry settings show\n  wrenferry settings show --version 3\n  wrenferry settings show --origin leasing/quotes/quick",
	flags: func(set *pflag.FlagSet, f *flags) {
		set.Int64Var(&f.version, "version", 0, "an earlier version")
		set.BoolVar(&f.origin, "origin", false, "show each value and the branch that it comes from")
	},
	run: runSettingsShow,
}

func runSettingsShow(ctx context.Context, s *session) error {
	if s.flags.origin || len(s.args) > 0 {
		return s.showOrigins(ctx)
	}
	view, err := s.settingsVersion(ctx, s.flags.version)
	if err != nil {
		return err
	}
	if s.flags.output == "json" {
		return s.showJSON(view)
	}
	fmt.Fprint(s.out, view.Text)
	return nil
}

func (s *session) showOrigins(ctx context.Context) error {
	branch := ""
	if len(s.args) > 0 {
		branch = s.args[0]
	}
	view, err := get[[]settings.Origin](ctx, s, "/v1/settings/origins?branch="+url.QueryEscape(branch))
	if err != nil {
		return err
	}
	return show(s, view, "SETTING VALUE FROM", func(origins []settings.Origin) [][]any {
		lines := make([][]any, 0, len(origins))
		for _, o := range origins {
			lines = append(lines, []any{o.Key, o.Value, o.From})
		}
		return lines
	})
}

// settingsVersion returns one version of the settings; 0 is the version in force.
func (s *session) settingsVersion(ctx context.Context, version int64) (operators.SettingsView, error) {
	path := "/v1/settings"
	if version != 0 {
		path = fmt.Sprintf("%s?version=%d", path, version)
	}
	return get[operators.SettingsView](ctx, s, path)
}
