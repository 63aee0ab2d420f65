package settings

import (
	"sort"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// ----------------------------------------------------------- the result

// Tree is one checked version of the settings. It never changes.
type Tree struct {
	text    string
	version int64
	root    *node
	fleet   Fleet
	kinds   map[string]Kind
	teams   map[string]Quota
}

// The types of a kind of call, as the setting "type" names them.
const (
	TypeRequest = "request"
	TypeJob     = "job"
	TypeStream  = "stream"
)

// AskAlways is the value of "askPeers" by which every call with a key asks.
const AskAlways = "always"

// Fleet holds the settings that stand at the root only.
type Fleet struct {
	PlacePolicy    string
	Lease          time.Duration
	Tenure         time.Duration
	Takeover       time.Duration
	Patience       time.Duration
	Ahead          int
	UrgentPriority int
}

// Kind is everything that one kind of call inherits and overrides.
type Kind struct {
	Team          string
	Service       string
	Name          string
	Type          string
	Deadline      time.Duration
	Repeatable    bool
	Priority      int
	AskPeers      string
	KeyWindow     time.Duration
	MaxBody       int64
	QueueLimit    int
	RetryBudget   int
	RoutePolicy   string
	Size          *wire.Size
	FailureLimit  int
	TargetLatency time.Duration
}

// Quota is the most that a team's batch tasks may reserve in one hall; a zero
// means no limit.
type Quota struct {
	Millicores   int64
	MemoryMB     int64
	Accelerators int64
}

// Origin is one setting with its value and the branch that it comes from.
type Origin struct {
	Key   string
	Value string
	From  string
}

// WithVersion returns the same tree under the number it was accepted as.
func (t *Tree) WithVersion(version int64) *Tree {
	c := *t
	c.version = version
	return &c
}

// Version is the number that the tree was accepted as; 0 before that.
func (t *Tree) Version() int64 { return t.version }

// Text is the file as the operator wrote it, comments included.
func (t *Tree) Text() string { return t.text }

// Fleet returns the settings of the root.
func (t *Tree) Fleet() Fleet { return t.fleet }

// Quota returns the quota of a team.
func (t *Tree) Quota(team string) Quota { return t.teams[team] }

// Kind finds a kind of call by the names that callers use.
func (t *Tree) Kind(service, kind string) (Kind, error) {
	k, ok := t.kinds[service+"/"+kind]
	if ok {
		return k, nil
	}
	return Kind{}, fault.New(fault.NotFound, service+"/"+kind, "no such service and kind in the settings",
		"known are: "+strings.Join(t.KindNames(), ", "))
}

// KindNames lists every "service/kind", sorted.
func (t *Tree) KindNames() []string {
	names := make([]string, 0, len(t.kinds))
	for name := range t.kinds {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// HasService says whether any kind belongs to the service.
func (t *Tree) HasService(service string) bool {
	for _, k := range t.kinds {
		if k.Service == service {
			return true
		}
	}
	return false
}

// Origins lists every setting in force at a branch ("team", "team/service" or
// "team/service/kind"; empty for the root), with where it comes from.
func (t *Tree) Origins(path string) ([]Origin, error) {
	chain := []*node{t.root}
	n := t.root
	for _, name := range strings.FieldsFunc(path, func(r rune) bool { return r == '/' }) {
		n = n.children[name]
		if n == nil {
			return nil, fault.New(fault.NotFound, path, "no such branch in the settings", "wrenferry settings show lists them")
		}
		chain = append(chain, n)
	}
	origins := make([]Origin, 0, len(Keys))
	for _, k := range Keys {
		v := inheritedValue(chain, k)
		origins = append(origins, Origin{Key: k.Name, Value: v.literal, From: v.origin})
	}
	return origins, nil
}

// ------------------------------------------------------------ inheritance

// inheritedValue finds a value: the innermost branch that sets it, else the default.
func inheritedValue(chain []*node, k Key) value {
	for i := len(chain) - 1; i >= 0; i-- {
		if v, ok := chain[i].values[k.Name]; ok {
			return v
		}
	}
	number, _ := k.parseLiteral(k.Default)
	return value{literal: k.Default, number: number, origin: "default"}
}

// branchChain reads typed values off one chain of branches.
type branchChain []*node

func (r branchChain) number(name string) int64 {
	k, _ := KeyNamed(name)
	return inheritedValue(r, k).number
}

func (r branchChain) duration(name string) time.Duration { return milliseconds(r.number(name)) }

func (r branchChain) choice(name string) string {
	k, _ := KeyNamed(name)
	return k.Choices[r.number(name)]
}

func (t *Tree) resolveAll() {
	t.fleet = resolveFleet(branchChain{t.root})
	t.kinds = map[string]Kind{}
	t.teams = map[string]Quota{}
	for teamName, team := range t.root.children {
		t.teams[teamName] = resolveQuota(branchChain{t.root, team})
		for serviceName, service := range team.children {
			for kindName, kind := range service.children {
				k := resolveKind(branchChain{t.root, team, service, kind})
				k.Team, k.Service, k.Name = teamName, serviceName, kindName
				t.kinds[serviceName+"/"+kindName] = k
			}
		}
	}
}

func resolveFleet(r branchChain) Fleet {
	return Fleet{
		PlacePolicy:    r.choice("placePolicy"),
		Lease:          r.duration("lease"),
		Tenure:         r.duration("tenure"),
		Takeover:       r.duration("takeover"),
		Patience:       r.duration("patience"),
		Ahead:          int(r.number("ahead")),
		UrgentPriority: int(r.number("urgentPriority")),
	}
}

func resolveQuota(r branchChain) Quota {
	return Quota{
		Millicores:   r.number("quotaMillicores"),
		MemoryMB:     r.number("quotaMemoryMB"),
		Accelerators: r.number("quotaAccelerators"),
	}
}

func resolveKind(r branchChain) Kind {
	return Kind{
		Type:        r.choice("type"),
		Deadline:    r.duration("deadline"),
		Repeatable:  r.number("repeatable") == 1,
		Priority:    int(r.number("priority")),
		AskPeers:    r.choice("askPeers"),
		KeyWindow:   r.duration("keyWindow"),
		MaxBody:     r.number("maxBody"),
		QueueLimit:  int(r.number("queueLimit")),
		RetryBudget: int(r.number("retryBudget")),
		RoutePolicy: r.choice("routePolicy"),
		Size: &wire.Size{
			Millicores:   r.number("millicores"),
			MemoryMb:     r.number("memoryMB"),
			Accelerators: r.number("accelerators"),
		},
		FailureLimit:  int(r.number("failureLimit")),
		TargetLatency: r.duration("targetLatency"),
	}
}
