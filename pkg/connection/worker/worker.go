// Package worker is the leader's client of workers. One request carries all orders
// of the leader to a worker, and one reply carries the worker's state.
package worker

import (
	"context"
	"time"

	"github.com/wrenferry/wrenferry/pkg/connection/protohttp"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// SyncPath is the HTTP path of Sync at a worker.
const SyncPath = "/sync"

// syncTimeout bounds one call of Sync. It is far below any lease, so that one lost
// message does not let a lease expire.
const syncTimeout = time.Second

// Client calls workers on behalf of a leader.
type Client struct{ call *protohttp.Client }

// NewClient returns a client. from is the name that the process gives in its calls.
func NewClient(from string) *Client {
	return &Client{call: protohttp.NewClient(from, 1)}
}

// Sync sends one request to the worker at the address. After an error it is unknown
// whether the worker has processed the request, unless the error's code is NotRun.
func (c *Client) Sync(ctx context.Context, address string, req *wire.SyncRequest) (*wire.SyncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	reply := &wire.SyncReply{}
	return reply, c.call.Call(ctx, "http://"+address+SyncPath, req, reply)
}
