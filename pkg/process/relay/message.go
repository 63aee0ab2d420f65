package relay

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// maxTransit is the longest time that an answer may be on its way beside the time for which the relay held it. The time of
// the reading is known to that extent only.
const maxTransit = 300 * time.Millisecond

// Reply returns the answer of a relay to a follower that has what known tells. held is the time for which the request
// waited.
func Reply(now time.Time, c Content, known Known, held time.Duration) *wire.FollowReply {
	reply := &wire.FollowReply{
		Relay: true, HeldUs: held.Microseconds(), Leaderships: encodeReading(now, c.Leaderships), Operators: encodeReading(now, c.Operators),
		HostsVersion: c.HostsVersion, LoadsVersion: c.LoadsVersion,
	}
	if c.Leaderships.StoreTime.Truncate(time.Microsecond) > known.LeadershipsTime {
		reply.Leaderships.Rows = encodeRows(c.Leaderships.Rows)
	}
	if c.Operators.Version > known.OperatorsVersion {
		reply.Operators.Rows = encodeRows(c.Operators.Rows)
	}
	if c.HostsVersion != known.HostsVersion {
		reply.Hosts = c.Hosts
	}
	for _, l := range c.Loads {
		if l.version > known.LoadsVersion {
			reply.Loads = append(reply.Loads, &wire.PassedLoad{Load: l.Load, AgeUs: now.Sub(l.At).Microseconds()})
		}
	}
	return reply
}

func encodeReading(now time.Time, r Reading) *wire.PassedReading {
	if r.ReadAt.IsZero() {
		return nil
	}
	return &wire.PassedReading{
		Version: r.Version, StoreUs: r.StoreTime.Microseconds(),
		AgeUs: now.Sub(r.ReadAt).Microseconds(), AskedAgeUs: now.Sub(r.AskedAt).Microseconds(),
	}
}

func encodeRows(list []table.Row) []*wire.TableRow {
	out := make([]*wire.TableRow, 0, len(list))
	for _, r := range list {
		out = append(out, &wire.TableRow{Table: r.Table, Part: r.Part, Key: r.Key.Key, Value: r.Value, Version: r.Version})
	}
	return out
}

// Passed is what a relay has passed on. A reading without a time was not passed on; its rows are nil if the follower has
// them.
type Passed struct {
	Leaderships, Operators Reading
	// Hosts is nil if the follower has the list.
	Hosts        []*wire.EntryHost
	HostsVersion int64
	// Loads are the loads that the follower lacks.
	Loads        []Load
	LoadsVersion int64
	// Recent reports which rows were recent.
	Recent Sources
}

// Accept checks the answer of a relay to a request that was sent at sentAt. It returns an error with the code
//
//	fault.NotRun       the host called is not a relay
//	fault.Unavailable  the answer came too late to tell when the table was read
//	fault.BadInput     the answer is damaged: it has impossible times, or rows of another table than expected
//
// leaderships and operators are the tables from which rows are taken.
func Accept(now, sentAt time.Time, from string, reply *wire.FollowReply, leaderships, operators string) (Passed, error) {
	held := time.Duration(reply.GetHeldUs()) * time.Microsecond
	transit := now.Sub(sentAt) - held
	switch {
	case !reply.GetRelay():
		return Passed{}, fault.New(fault.NotRun, from, "the host is not a relay", "follow another one")
	case held < 0 || transit < 0:
		return Passed{}, fault.New(fault.BadInput, from, "the relay held the request for longer than it took", "")
	case transit > maxTransit:
		return Passed{}, fault.New(fault.Unavailable, from, "the answer was on its way for too long", "")
	}
	// The relay answered between these two times. All ages count from the earlier one, as if the rows had been read then.
	answeredAt := sentAt.Add(held)
	p := Passed{Hosts: reply.GetHosts(), HostsVersion: reply.GetHostsVersion(), LoadsVersion: reply.GetLoadsVersion()}
	for _, l := range reply.GetLoads() {
		if l.GetAgeUs() < 0 {
			return Passed{}, fault.New(fault.BadInput, from, "a passed on load comes from the future", "")
		}
		p.Loads = append(p.Loads, Load{Load: l.GetLoad(), At: answeredAt.Add(-time.Duration(l.GetAgeUs()) * time.Microsecond)})
	}
	var err error
	if p.Leaderships, err = decodeReading(answeredAt, from, reply.GetLeaderships(), leaderships); err != nil {
		return Passed{}, err
	}
	if p.Operators, err = decodeReading(answeredAt, from, reply.GetOperators(), operators); err != nil {
		return Passed{}, err
	}
	p.Recent = Sources{
		Leaderships: !p.Leaderships.ReadAt.IsZero() && p.Leaderships.Age(now) <= LeadershipsMaxAge,
		Operators:   !p.Operators.ReadAt.IsZero() && p.Operators.Age(now) <= OperatorsMaxAge,
	}
	return p, nil
}

// decodeReading decodes a reading with rows of the given table only.
func decodeReading(answeredAt time.Time, from string, m *wire.PassedReading, tableName string) (Reading, error) {
	if m == nil {
		return Reading{}, nil
	}
	age, askedAge := time.Duration(m.GetAgeUs())*time.Microsecond, time.Duration(m.GetAskedAgeUs())*time.Microsecond
	if age < 0 || askedAge < age || m.GetStoreUs() < 0 || m.GetVersion() < 0 {
		return Reading{}, fault.New(fault.BadInput, from, "the times of a passed on reading are impossible", "")
	}
	r := Reading{
		Version: m.GetVersion(), StoreTime: time.Duration(m.GetStoreUs()) * time.Microsecond,
		ReadAt: answeredAt.Add(-age), AskedAt: answeredAt.Add(-askedAge),
	}
	for _, row := range m.GetRows() {
		if row.GetTable() != tableName || row.GetVersion() <= 0 {
			return Reading{}, fault.New(fault.BadInput, from, "a passed on row is not of the table "+tableName, "")
		}
		r.Rows = append(r.Rows, table.Row{
			Key: table.Key{Table: row.GetTable(), Part: row.GetPart(), Key: row.GetKey()}, Value: row.GetValue(), Version: row.GetVersion(),
		})
	}
	return r, nil
}
