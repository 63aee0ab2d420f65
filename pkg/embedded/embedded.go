// Package embedded runs the stand-ins inside the daemon's own process, to try
// wrenferry out on one machine. All state is in memory and lost when the process
// ends.
package embedded

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/hall"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/standin"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

const (
	workers     = 3
	runners     = 4
	runnerSlots = 8
	hostListLag = 200 * time.Millisecond
)

// workerSize is the size of an embedded worker: 32 cores and 125 GB.
var workerSize = ledger.Size{Millicores: 32000, MemoryMB: 125000, Accelerators: 1}

// Standins is a platform, workers and runners in this process.
type Standins struct {
	// Platform is the HOST:PORT address of the platform.
	Platform string
	hosts    []*wire.Host
	platform *standin.Platform
}

// Start starts the stand-ins of one hall. Each of the given services gets the same
// number of runners.
func Start(hallName string, services []string) (*Standins, error) {
	s := &Standins{platform: standin.NewPlatform(hostListLag)}
	var err error
	if s.Platform, err = Serve(s.platform); err != nil {
		return nil, err
	}
	for i := range workers {
		if err := s.addWorker(hallName, fmt.Sprintf("worker-%d", i+1)); err != nil {
			return nil, err
		}
	}
	for _, service := range services {
		for i := range runners {
			if err := s.addRunner(hallName, service, fmt.Sprintf("%s-%d", service, i+1)); err != nil {
				return nil, err
			}
		}
	}
	s.platform.SetHosts(s.hosts)
	return s, nil
}

func (s *Standins) addWorker(hallName, name string) error {
	w, err := standin.NewWorker(name, s.Platform, "", workerSize, ledger.Size{}, standin.NoFences{})
	if err != nil {
		return err
	}
	address, err := Serve(w)
	s.hosts = append(s.hosts, &wire.Host{
		Name: name, Role: hall.RoleWorker, Hall: hallName, Rack: "rack-1", Address: address, Capacity: workerSize.Wire(),
	})
	return err
}

func (s *Standins) addRunner(hallName, service, name string) error {
	r, err := standin.NewRunner(name, "", runnerSlots)
	if err != nil {
		return err
	}
	address, err := Serve(r)
	s.hosts = append(s.hosts, &wire.Host{Name: name, Role: hall.RoleRunner, Hall: hallName, Address: address, Service: service})
	return err
}

// Serve serves a handler on a free loopback port until the process ends, and returns
// the HOST:PORT address.
func Serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fault.New(fault.Unavailable, "127.0.0.1", "can't listen there", "").WithCause(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}
