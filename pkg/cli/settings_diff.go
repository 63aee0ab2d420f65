package cli

import (
	"context"
	"fmt"

	"github.com/aymanbagabas/go-udiff"
	"github.com/spf13/pflag"
)

var settingsDiff = verb{
	path: "settings diff", args: "[FILE]", max: 1,
	short:   "Compare a file with the settings in force, or two versions",
	example: "  wrenferry settings diff tree.jsonc\n  wrenferry settings diff --from 3 --version 5",
	flags: func(set *pflag.FlagSet, f *flags) {
		set.Int64Var(&f.from, "from", 0, "the version to compare from (default: the one in force)")
		set.Int64Var(&f.version, "version", 0, "the version to compare to, if no file is given")
	},
	run: runSettingsDiff,
}

func runSettingsDiff(ctx context.Context, s *session) error {
	from, err := s.settingsVersion(ctx, s.flags.from)
	if err != nil {
		return err
	}
	name, text, err := s.textToCompare(ctx)
	if err != nil {
		return err
	}
	fmt.Fprint(s.out, udiff.Unified(fmt.Sprintf("version %d", from.Version), name, from.Text, text))
	return nil
}

// textToCompare returns the name and text of the file or version to compare to.
func (s *session) textToCompare(ctx context.Context) (name, text string, err error) {
	if len(s.args) > 0 {
		text, err = s.readFile(s.args[0])
		return s.args[0], text, err
	}
	view, err := s.settingsVersion(ctx, s.flags.version)
	return fmt.Sprintf("version %d", view.Version), view.Text, err
}
