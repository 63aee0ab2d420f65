// Command emulate records, plays, searches and reduces days of the emulator.
package main

import (
	"os"

	"github.com/wrenferry/wrenferry/pkg/emulator/days"
)

func main() { os.Exit(days.Main(os.Args[1:], os.Stdout, os.Stderr)) }
