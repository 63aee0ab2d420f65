// Package supervised wraps servers as services of a supervisor (package suture). Each serves
// until the context ends or the server is shut down, and isn't restarted then.
package supervised

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/thejerf/suture/v4"
	"google.golang.org/grpc"

	"github.com/wrenferry/wrenferry/pkg/fault"
)

// Listen opens a TCP port. The name says in the error for which purpose.
func Listen(name, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.New(fault.Unavailable, name+" "+address, "can't listen there", "is the address this host's, and free?").WithCause(err)
	}
	return listener, nil
}

// HTTPServer is a supervised HTTP server.
type HTTPServer struct {
	Server   *http.Server
	Listener net.Listener
}

// String returns the name that the supervisor logs.
func (p *HTTPServer) String() string { return "HTTP server on " + p.Listener.Addr().String() }

// Serve serves until the context ends or the server is shut down.
func (p *HTTPServer) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = p.Server.Close() })
	defer stop()
	if err := p.Server.Serve(p.Listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return suture.ErrDoNotRestart
}

// GRPCServer is the supervised gRPC server for the other hosts.
type GRPCServer struct {
	Server   *grpc.Server
	Listener net.Listener
}

// String returns the name that the supervisor logs.
func (p *GRPCServer) String() string { return "gRPC server for peers" }

// Serve serves until the context ends.
func (p *GRPCServer) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, p.Server.Stop)
	defer stop()
	if err := p.Server.Serve(p.Listener); err != nil {
		return err
	}
	return suture.ErrDoNotRestart
}
