package settings_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/version/settings"
)

func TestKindsInheritSettingsFromOuterBranches(t *testing.T) {
	tree, err := settings.Parse("t", `{"deadline": "3s", "teams": {"a": {"priority": 7, "services": {"s": {"kinds": {"k": {"deadline": "1s"}, "l": {}}}}}}}`)
	must.NoError(t, err)
	k, err := tree.Kind("s", "k")
	must.NoError(t, err)
	must.Eq(t, time.Second, k.Deadline)
	must.Eq(t, 7, k.Priority)
	l, err := tree.Kind("s", "l")
	must.NoError(t, err)
	must.Eq(t, 3*time.Second, l.Deadline)
	origins, err := tree.Origins("a/s/l")
	must.NoError(t, err)
	for _, o := range origins {
		if o.Key == "priority" {
			must.Eq(t, "a", o.From)
		}
	}
}

func TestParseReportsProblemsWithPosition(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"{\n \"leese\": \"1s\"}", `t:2:2: unknown setting "leese"`},
		{`{"lease": "9s", "tenure": "5s"}`, "lease 9s is longer than tenure 5s"},
		{`{"teams": {"a": {"lease": "5s"}}}`, "may stand only at the root"},
		{`{"teams": {"A b": {}}}`, "is not a name"},
		{`{"teams": {"a": {"services": {"s": {}}}, "b": {"services": {"s": {}}}}}`, "already defined"},
		{`{"priority": 5, "priority": 6}`, "stands twice"},
		{"{\n", "t:2:1: not JSON with comments"},
	} {
		_, err := settings.Parse("t", c.text)
		must.Error(t, err)
		must.StrContains(t, err.Error(), c.want)
	}
}

func BenchmarkApplyVersion(b *testing.B) {
	for _, kinds := range []int{10, 100, 1000} {
		var s strings.Builder
		for i := range kinds {
			fmt.Fprintf(&s, `"k%d": {"deadline": "1s"},`, i)
		}
		text := `{"teams": {"t": {"services": {"s": {"kinds": {` + s.String() + `}}}}}}`
		b.Run(fmt.Sprintf("kinds=%d", kinds), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := settings.Parse("t", text); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
