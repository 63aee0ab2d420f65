package fleetpeer

import (
	"context"
	"time"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Control is the part of the control thread that peers call.
type Control interface {
	JobAccepted(spec *wire.JobSpec)
	CancelRequested(cell, id string)
	TasksReturned(r *wire.ReturnedTasks)
	Phase(ctx context.Context, cell, id string) (wire.JobPhase, bool)
	LoadFor(ctx context.Context, ref *wire.CellRef) *wire.CellLoad
	TakeOver(cell string)
	OfferLeadership(ctx context.Context, cell string) *wire.LeadershipOffer
	ReleaseForHomeHall(cell string)
}

// Table is the table service, called directly by this host.
type Table interface {
	table.Reader
	Commit(ctx context.Context, t table.Transaction) (table.CommitResult, error)
}

// Relay answers hosts that follow this one.
type Relay interface {
	Answer(ctx context.Context, m *wire.FollowRequest) *wire.FollowReply
	CountedPending(ctx context.Context, cell string) *wire.PendingCounts
}

// Registry answers other leaders that ask for the worker registry.
type Registry interface {
	Answer(ctx context.Context, m *wire.RegistryRequest) *wire.RegistryReply
}

// Server serves the calls of peers.
type Server struct {
	wire.UnimplementedFleetServer
	Control Control
	Table   Table
	Relay   Relay
	// Workers is the worker registry as this host reads it.
	Workers Registry
}

// Accepted passes on a job that another host has written to the table, and returns the cell's load.
func (s *Server) Accepted(ctx context.Context, m *wire.AcceptedJob) (*wire.CellLoad, error) {
	s.Control.JobAccepted(m.GetSpec())
	return s.Control.LoadFor(ctx, &wire.CellRef{Cell: m.GetSpec().GetCell()}), nil
}

// Cancelled passes on that a cancellation of a job is in the table.
func (s *Server) Cancelled(_ context.Context, m *wire.JobRef) (*wire.Empty, error) {
	s.Control.CancelRequested(m.GetCell(), m.GetId())
	return &wire.Empty{}, nil
}

// Returned passes on the results of tasks that a cell of this host has delegated.
func (s *Server) Returned(_ context.Context, m *wire.ReturnedTasks) (*wire.Empty, error) {
	s.Control.TasksReturned(m)
	return &wire.Empty{}, nil
}

// State returns the phase of a job if this host leads its cell.
func (s *Server) State(ctx context.Context, m *wire.JobRef) (*wire.JobStateReply, error) {
	phase, known := s.Control.Phase(ctx, m.GetCell(), m.GetId())
	return &wire.JobStateReply{Known: known, Phase: phase}, nil
}

// Load returns the load of a cell if this host leads it.
func (s *Server) Load(ctx context.Context, m *wire.CellRef) (*wire.CellLoad, error) {
	return s.Control.LoadFor(ctx, m), nil
}

// TakeOver asks this host to take over the leadership of a cell that its leader is releasing.
func (s *Server) TakeOver(_ context.Context, m *wire.CellRef) (*wire.Empty, error) {
	s.Control.TakeOver(m.GetCell())
	return &wire.Empty{}, nil
}

// OfferLeadership returns whether this host would lead a cell that its leader wants to hand over.
func (s *Server) OfferLeadership(ctx context.Context, m *wire.CellRef) (*wire.LeadershipOffer, error) {
	return s.Control.OfferLeadership(ctx, m.GetCell()), nil
}

// Yield asks this host to release the leadership of a cell of another hall.
func (s *Server) Yield(_ context.Context, m *wire.CellRef) (*wire.Empty, error) {
	s.Control.ReleaseForHomeHall(m.GetCell())
	return &wire.Empty{}, nil
}

// Commit commits a transaction on behalf of a peer.
func (s *Server) Commit(ctx context.Context, m *wire.TableCommit) (*wire.TableCommitReply, error) {
	done, err := s.Table.Commit(ctx, decodeTransaction(m))
	if err != nil {
		return &wire.TableCommitReply{Failure: string(fault.CodeOf(err))}, nil
	}
	return &wire.TableCommitReply{
		Version: done.Version, StoreMs: int64(done.StoreTime / time.Millisecond), Conflict: done.Conflict, Rows: encodeRows(done.Current),
	}, nil
}

// Read reads a range on behalf of a peer.
func (s *Server) Read(ctx context.Context, m *wire.TableRead) (*wire.TableReadReply, error) {
	page, err := s.Table.Read(ctx, table.Range{Table: m.GetTable(), Part: m.GetPart(), From: m.GetFrom(), To: m.GetTo(), Limit: int(m.GetLimit())})
	if err != nil {
		return &wire.TableReadReply{Failure: string(fault.CodeOf(err))}, nil
	}
	return &wire.TableReadReply{
		Rows: encodeRows(page.Rows), More: page.More, Version: page.Version, StoreMs: int64(page.StoreTime / time.Millisecond),
	}, nil
}

// Follow returns what this host has read from the table, if it is a relay.
func (s *Server) Follow(ctx context.Context, m *wire.FollowRequest) (*wire.FollowReply, error) {
	return s.Relay.Answer(ctx, m), nil
}

// Pending returns the counts of pending jobs of a cell's queues, if this host is a relay.
func (s *Server) Pending(ctx context.Context, m *wire.CellRef) (*wire.PendingCounts, error) {
	return s.Relay.CountedPending(ctx, m.GetCell()), nil
}

// Registry returns rows of the worker registry, if this host reads it for all leaders.
func (s *Server) Registry(ctx context.Context, m *wire.RegistryRequest) (*wire.RegistryReply, error) {
	return s.Workers.Answer(ctx, m), nil
}
