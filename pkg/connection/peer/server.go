package peer

import (
	"context"
	"time"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Settings provides and updates the settings in force, for the server.
type Settings interface {
	Row() *wire.SettingsRow
	Accept(row *wire.SettingsRow) bool
}

// Leaving marks backend servers as leaving.
type Leaving interface {
	SetLeaving(service, name string) bool
}

// Control is the part of the control loop that the server calls.
type Control interface {
	ReadInboxNow()
	Leading() bool
	ExplainForPeer(ctx context.Context, name string) ([]*wire.Fact, error)
}

// Keys answers peers' questions about idempotency keys from this host's records.
type Keys interface {
	Answer(now time.Time, q *wire.AskRequest) *wire.AskReply
}

// Server serves the calls of the other entry hosts.
type Server struct {
	wire.UnimplementedPeerServer
	Name     string
	Hall     string
	Keys     Keys
	Settings Settings
	Gateway  Leaving
	Control  Control
}

// Ask answers whether this host has seen a key. If not, this host promises to ask its peers
// before it runs a request with the key.
func (s *Server) Ask(_ context.Context, q *wire.AskRequest) (*wire.AskReply, error) {
	return s.Keys.Answer(time.Now(), q), nil
}

// Offer accepts a version of the settings, and returns the version in force.
func (s *Server) Offer(_ context.Context, row *wire.SettingsRow) (*wire.Have, error) {
	s.Settings.Accept(row)
	return &wire.Have{Version: s.Settings.Row().GetVersion()}, nil
}

// Fetch returns the settings in force if they are newer than the caller's, and else an empty row.
func (s *Server) Fetch(_ context.Context, have *wire.Have) (*wire.SettingsRow, error) {
	row := s.Settings.Row()
	if row.GetVersion() <= have.GetVersion() {
		return &wire.SettingsRow{}, nil
	}
	return row, nil
}

// Leaving marks a backend server as leaving.
func (s *Server) Leaving(_ context.Context, n *wire.LeavingNotice) (*wire.Have, error) {
	s.Gateway.SetLeaving(n.GetService(), n.GetName())
	return &wire.Have{}, nil
}

// Wake makes this process read its inbox, if it leads its hall.
func (s *Server) Wake(_ context.Context, _ *wire.Have) (*wire.Have, error) {
	if s.Control.Leading() {
		s.Control.ReadInboxNow()
	}
	return &wire.Have{}, nil
}

// Explain returns the facts about a name if this process leads its hall, and else an empty answer.
func (s *Server) Explain(ctx context.Context, q *wire.Question) (*wire.Answer, error) {
	if !s.Control.Leading() {
		return &wire.Answer{}, nil
	}
	facts, err := s.Control.ExplainForPeer(ctx, q.GetName())
	if err != nil {
		return nil, err
	}
	return &wire.Answer{Hall: s.Hall, AnsweredBy: s.Name, Facts: facts}, nil
}
