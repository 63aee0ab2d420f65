// Command wrenferryd is the daemon that runs on every entry host.
package main

import (
	"os"

	"github.com/wrenferry/wrenferry/pkg/serve"
)

func main() { os.Exit(serve.Main(os.Args[1:], os.Stdout, os.Stderr)) }
