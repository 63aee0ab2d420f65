package peer

import (
	"context"
	"time"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Settings is what the server needs of the settings in force.
type Settings interface {
	Row() *wire.SettingsRow
	Accept(row *wire.SettingsRow) bool
}

// Leaving takes in the news of a leaving backend server.
type Leaving interface {
	SetLeaving(service, name string) bool
}

// Control is what the server needs of the control loop.
type Control interface {
	Wake()
	Leads() bool
	Facts(ctx context.Context, name string) ([]*wire.Fact, error)
}

// Keys is what this host knows of keys.
type Keys interface {
	Answer(now time.Time, q *wire.AskRequest) *wire.AskReply
}

// Server answers the other entry hosts.
type Server struct {
	wire.UnimplementedPeerServer
	Name     string
	Hall     string
	Keys     Keys
	Settings Settings
	Gateway  Leaving
	Control  Control
}

// Ask answers for a key, and leaves a promise.
func (s *Server) Ask(_ context.Context, q *wire.AskRequest) (*wire.AskReply, error) {
	return s.Keys.Answer(time.Now(), q), nil
}

// Offer takes in a settings version.
func (s *Server) Offer(_ context.Context, row *wire.SettingsRow) (*wire.Have, error) {
	s.Settings.Accept(row)
	return &wire.Have{Version: s.Settings.Row().GetVersion()}, nil
}

// Fetch hands over the settings in force if they are newer than the asker's.
func (s *Server) Fetch(_ context.Context, have *wire.Have) (*wire.SettingsRow, error) {
	row := s.Settings.Row()
	if row.GetVersion() <= have.GetVersion() {
		return &wire.SettingsRow{}, nil
	}
	return row, nil
}

// Leaving takes in that a backend server is leaving.
func (s *Server) Leaving(_ context.Context, n *wire.LeavingNotice) (*wire.Have, error) {
	s.Gateway.SetLeaving(n.GetService(), n.GetName())
	return &wire.Have{}, nil
}

// Wake makes the leader read its inbox.
func (s *Server) Wake(_ context.Context, _ *wire.Have) (*wire.Have, error) {
	if s.Control.Leads() {
		s.Control.Wake()
	}
	return &wire.Have{}, nil
}

// Explain answers if this process leads its hall.
func (s *Server) Explain(ctx context.Context, q *wire.Question) (*wire.Answer, error) {
	if !s.Control.Leads() {
		return &wire.Answer{}, nil
	}
	facts, err := s.Control.Facts(ctx, q.GetName())
	if err != nil {
		return nil, err
	}
	return &wire.Answer{Hall: s.Hall, AnsweredBy: s.Name, Facts: facts}, nil
}
