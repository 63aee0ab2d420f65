package settings

import (
	"sort"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// ----------------------------------------------------------- the result

// Tree is one checked and resolved version of the settings. It is immutable.
type Tree struct {
	text    string
	version int64
	root    *node
	fleet   RootSettings
	kinds   map[string]Kind
	teams   map[string]Quota
}

// The values of the setting "type".
const (
	TypeRequest = "request"
	TypeJob     = "job"
	TypeStream  = "stream"
)

// AskPeersAlways is the value of the setting "askPeers" with which an entry host asks its peers about every call with a key.
const AskPeersAlways = "always"

// RootSettings holds the settings that are allowed only at the root of the tree. They apply to the whole deployment.
type RootSettings struct {
	PlacePolicy    string
	Lease          time.Duration
	Tenure         time.Duration
	Takeover       time.Duration
	Patience       time.Duration
	Ahead          int
	UrgentPriority int
}

// Kind holds the settings of one kind of call, with those inherited from its service, its team and the root. Team,
// Service and Name identify the kind.
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

// Quota is the maximum that a team's batch tasks may reserve in one hall. 0 means no limit.
type Quota struct {
	Millicores   int64
	MemoryMB     int64
	Accelerators int64
}

// Origin is a setting with its value as written and the branch that sets it, or "default".
type Origin struct {
	Key   string
	Value string
	From  string
}

// WithVersion returns a copy of the tree with the version number under which the tree was accepted.
func (t *Tree) WithVersion(version int64) *Tree {
	c := *t
	c.version = version
	return &c
}

// Version returns the version number under which the tree was accepted, or 0 before that.
func (t *Tree) Version() int64 { return t.version }

// Text returns the file as the operator wrote it, including comments.
func (t *Tree) Text() string { return t.text }

// RootSettings returns the settings that are allowed only at the root.
func (t *Tree) RootSettings() RootSettings { return t.fleet }

// Quota returns the quota of a team, or no limits if the team is unknown.
func (t *Tree) Quota(team string) Quota { return t.teams[team] }

// Kind returns a kind of call by its service and name. The error for an unknown kind lists the known ones.
func (t *Tree) Kind(service, kind string) (Kind, error) {
	k, ok := t.kinds[service+"/"+kind]
	if ok {
		return k, nil
	}
	return Kind{}, fault.New(fault.NotFound, service+"/"+kind, "no such service and kind in the settings",
		"known are: "+strings.Join(t.KindNames(), ", "))
}

// KindNames returns the names of all kinds as "service/kind", sorted.
func (t *Tree) KindNames() []string {
	names := make([]string, 0, len(t.kinds))
	for name := range t.kinds {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// HasService returns whether the service has at least one kind.
func (t *Tree) HasService(service string) bool {
	for _, k := range t.kinds {
		if k.Service == service {
			return true
		}
	}
	return false
}

// Origins returns all settings in force at a branch, each with its origin. The path of the branch is "team",
// "team/service" or "team/service/kind", or empty for the root.
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

// inheritedValue returns the value of a setting from the innermost branch of the chain that sets it, or the default.
func inheritedValue(chain []*node, k Key) value {
	for i := len(chain) - 1; i >= 0; i-- {
		if v, ok := chain[i].values[k.Name]; ok {
			return v
		}
	}
	number, _ := k.parseLiteral(k.Default)
	return value{literal: k.Default, number: number, origin: "default"}
}

// branchChain is the branches from the root to one node. Its methods return the inherited values of settings by type.
type branchChain []*node

func (r branchChain) number(name string) int64 {
	k, _ := FindKey(name)
	return inheritedValue(r, k).number
}

func (r branchChain) duration(name string) time.Duration { return milliseconds(r.number(name)) }

func (r branchChain) choice(name string) string {
	k, _ := FindKey(name)
	return k.Choices[r.number(name)]
}

// resolveAll computes the root settings, the kinds and the quotas of the tree.
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

func resolveFleet(r branchChain) RootSettings {
	return RootSettings{
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
