// Package platform is the client of the users' platform: its transactional table
// and its host list, which lags behind the actual hosts.
//
// Every call ends within callTimeout. After an error of Commit the outcome of the
// transaction is unknown. A conflict is not an error; the reply reports it.
package platform

import (
	"context"
	"time"

	"github.com/wrenferry/wrenferry/pkg/connection/protohttp"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// The paths of the platform's interface.
const (
	CommitPath = "/table/commit"
	ReadPath   = "/table/read"
	HostsPath  = "/hosts"
)

const (
	// callTimeout bounds the total time of one call.
	callTimeout = 3 * time.Second
	// maxConnections is the maximum number of connections of one process to the platform.
	maxConnections = 16
	// pageRows is the maximum number of rows per page of a range read.
	pageRows = 2000
)

// Client is a connection to the platform.
type Client struct {
	base string
	call *protohttp.Client
}

// NewClient returns a client of the platform at the address, such as
// "127.0.0.1:7000". from is the name that the process gives in its calls.
func NewClient(address, from string) *Client {
	return &Client{base: "http://" + address, call: protohttp.NewClient(from, maxConnections)}
}

// Commit executes one transaction.
func (c *Client) Commit(ctx context.Context, req *wire.CommitRequest) (*wire.CommitReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := &wire.CommitReply{}
	return reply, c.call.Call(ctx, c.base+CommitPath, req, reply)
}

// Read reads rows by key, or one page of a range. The reply omits absent keys.
func (c *Client) Read(ctx context.Context, req *wire.ReadRequest) (*wire.ReadReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := &wire.ReadReply{}
	return reply, c.call.Call(ctx, c.base+ReadPath, req, reply)
}

// Hosts returns the platform's host list.
func (c *Client) Hosts(ctx context.Context) ([]*wire.Host, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := &wire.HostList{}
	err := c.call.Call(ctx, c.base+HostsPath, &wire.ReadRequest{}, reply)
	return reply.GetHosts(), err
}

// reader reads rows of the table, for ReadAll and ReadOne.
type reader interface {
	Read(ctx context.Context, req *wire.ReadRequest) (*wire.ReadReply, error)
}

// ReadAll reads all rows with a key prefix. It reads page after page, so the result
// is not one snapshot: callers put conditions on the rows that they write afterwards.
func ReadAll(ctx context.Context, t reader, prefix string) ([]*wire.Row, error) {
	var all []*wire.Row
	after := ""
	for {
		reply, err := t.Read(ctx, &wire.ReadRequest{Prefix: prefix, After: after, Limit: pageRows})
		if err != nil {
			return nil, err
		}
		all = append(all, reply.GetRows()...)
		if len(reply.GetRows()) < pageRows {
			return all, nil
		}
		after = all[len(all)-1].GetKey()
	}
}

// ReadOne returns the row with the key, or nil when the row is absent.
func ReadOne(ctx context.Context, t reader, key string) (*wire.Row, error) {
	reply, err := t.Read(ctx, &wire.ReadRequest{Keys: []string{key}})
	if err != nil || len(reply.GetRows()) == 0 {
		return nil, err
	}
	return reply.GetRows()[0], nil
}
