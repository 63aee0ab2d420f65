// Command wrenferry is the operators' command line.
package main

import (
	"os"

	"github.com/wrenferry/wrenferry/pkg/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
