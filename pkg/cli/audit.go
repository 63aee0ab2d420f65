package cli

import (
	"context"
	"net/url"
	"time"

	"github.com/spf13/pflag"

	"github.com/wrenferry/wrenferry/pkg/process/operators"
)

var auditVerb = verb{
	path:    "audit",
	short:   "Show who changed what, and when",
	example: "  wrenferry audit --since 24h\n  wrenferry audit --by anna --object quotes",
	flags: func(set *pflag.FlagSet, f *flags) {
		set.StringVar(&f.by, "by", "", "only changes by this actor")
		set.StringVar(&f.object, "object", "", "only changes of this object")
		set.StringVar(&f.since, "since", "", "only changes within this span, for example 2h")
	},
	run: runAudit,
}

func runAudit(ctx context.Context, s *session) error {
	query := url.Values{"actor": {s.flags.by}, "object": {s.flags.object}, "since": {s.flags.since}}
	view, err := get[[]operators.AuditView](ctx, s, "/v1/audit?"+query.Encode())
	if err != nil {
		return err
	}
	return show(s, view, "TIME ACTOR VERB OBJECT DETAIL", auditLines)
}

func auditLines(entries []operators.AuditView) [][]any {
	lines := make([][]any, 0, len(entries))
	for _, a := range entries {
		lines = append(lines, []any{a.At.Format(time.DateTime), a.Actor, a.Verb, a.Object, orDash(a.Detail)})
	}
	return lines
}
