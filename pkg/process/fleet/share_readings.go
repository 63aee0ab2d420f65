package fleet

import (
	"context"

	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// shareReadings connects the followers of the table to the relays and to the leader that reads the worker registry.
func (h *Host) shareReadings() {
	h.workers = &WorkersFollower{
		Store: h.Store, Source: h.outside.Source, Halls: h.Config.Halls, Manifest: h.Manifest, Log: h.Log, Metrics: h.Metrics,
		LedHalls: h.Control.ledHalls, Leaders: h.Control.leaders,
		Changed: func(halls []string, list []workers.Record) { h.Control.send(registryRead{halls: halls, records: list}) },
		Ask: func(ctx context.Context, address string, request *wire.RegistryRequest) (*wire.RegistryReply, error) {
			p, err := h.peers.PeerClient(address)
			if err != nil {
				return nil, err
			}
			return p.Registry(ctx, request)
		},
	}
	h.Relays = NewRelays()
	h.Relays.Store, h.Relays.Hosts, h.Relays.Log, h.Relays.Metrics = h.Store, h.Hosts, h.Log, h.Metrics
	h.Relays.OperatorsTable = h.outside.Source.ManifestKey().Table
	h.Relays.Leads = func() bool { return len(h.Control.LedCells()) > 0 }
	h.Relays.Follow = func(ctx context.Context, address string, request *wire.FollowRequest) (*wire.FollowReply, error) {
		p, err := h.peers.PeerClient(address)
		if err != nil {
			return nil, err
		}
		return p.Follow(ctx, request)
	}
	h.Relays.AskPending = func(ctx context.Context, address, cell string) (*wire.PendingCounts, error) {
		p, err := h.peers.PeerClient(address)
		if err != nil {
			return nil, err
		}
		return p.Pending(ctx, &wire.CellRef{Cell: cell})
	}
	h.Relays.Leaderships = h.Control.LeadershipsRead
	h.Relays.Operators = h.operatorsPassed.Put
	h.Hosts.Leaders = h.Control.leaderAddresses
	h.Hosts.Followers = h.Relays.Followers
	h.Hosts.Listed = h.Relays.HostsListed
}
