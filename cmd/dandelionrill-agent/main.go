// Command dandelionrill-agent runs the agent beside an upstream.
package main

import (
	"os"

	"dandelionrill.example/fleet/cli"
)

func main() { os.Exit(cli.Agent(cli.SignalContext(), os.Args[1:], cli.SystemEnvironment())) }
