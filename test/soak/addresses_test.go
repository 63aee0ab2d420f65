package soak_test

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Each run has a loopback address of its own, so that a host or worker that is gone for a while never finds its port taken by
// another run. Ports are below those that the system assigns, and none is given twice.

const (
	firstPort, lastPort = 10001, 32767
	// perByte is the number of values of a byte of the run's address.
	perByte = 250
)

// portsGiven is the number of ports tried by this run.
var portsGiven atomic.Int32

// freeAddresses returns n addresses with free ports.
func freeAddresses(n int) ([]string, error) {
	var list []string
	for len(list) < n {
		port := firstPort + int(portsGiven.Add(1))
		if port > lastPort {
			return nil, errors.New("no port is free; play fewer days in a run")
		}
		address := fmt.Sprintf("127.%d.%d.1:%d", 1+os.Getpid()/perByte%perByte, 1+os.Getpid()%perByte, port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue // the port is in use
		}
		if err := l.Close(); err != nil {
			return nil, err
		}
		list = append(list, address)
	}
	return list, nil
}
