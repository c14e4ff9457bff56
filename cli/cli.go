// Package cli implements the commands of the two binaries: the processes of the
// fleet and the operator tools.
package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"dandelionrill.example/fleet/settings"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = settings.ExitCode
)

// Environment holds the standard streams and the lookup of environment variables
// for a command.
type Environment struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	Getenv func(string) string
}

// SystemEnvironment returns the environment of the current process.
func SystemEnvironment() Environment {
	return Environment{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv}
}

// SignalContext returns a context that is cancelled by the first SIGINT or SIGTERM. A
// SIGINT after that terminates the process at once. Further SIGTERMs have no effect, since
// a supervisor may repeat them while the process stops gracefully.
func SignalContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		signal.Reset(os.Interrupt)
		cancel()
	}()
	return ctx
}

// Version returns the version of the build.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			version += " " + s.Value
		}
	}
	return strings.TrimSpace(version + " " + info.GoVersion)
}

const usage = `Usage: dandelionrill <command> [flags]

Commands:
  router      run a router
  gateway     run a router on the users' platform
  status      show the state of a process
  drain       begin the planned stop of a process
  timeline    merge the recent events of processes
  config      check, diff, apply, show, history, undo: sheets and versions
              get, put: the configuration as JSON through the admin API
              check --input platform: a configuration of the users' platform
  version     print the version

Each command has --help. The agent is a binary of its own: dandelionrill-agent.
`

// Main runs the dandelionrill command line and returns the exit code.
func Main(ctx context.Context, args []string, env Environment) int {
	if len(args) == 0 {
		fmt.Fprint(env.Stderr, usage)
		return exitSettings
	}
	if len(args) > 1 && args[0] == "config" {
		args = append([]string{"config " + args[1]}, args[2:]...)
	}
	switch name := args[0]; name {
	case "router":
		return Router(ctx, args[1:], env)
	case "gateway":
		return Gateway(ctx, args[1:], env)
	case "version", "--version":
		fmt.Fprintln(env.Stdout, Version())
		return exitOK
	case "help", "--help", "-h":
		fmt.Fprint(env.Stdout, usage)
		return exitOK
	default:
		if run, ok := configCommands[settings.Command(name)]; ok {
			return runConfigCommand(ctx, settings.Command(name), run, args[1:], env)
		}
		run, ok := operatorCommands[settings.Command(name)]
		if !ok {
			fmt.Fprintf(env.Stderr, "dandelionrill: unknown command %q\n\n%s", name, usage)
			return exitSettings
		}
		return runOperatorCommand(ctx, settings.Command(name), run, args[1:], env)
	}
}

// handleAction prints what an action other than ActionRun asks for, or the errors
// of the settings. done is false if the command should run.
func handleAction(action settings.Action, help string, err error, env Environment) (code int, done bool) {
	switch {
	case action == settings.ActionHelp:
		fmt.Fprint(env.Stdout, help)
		return exitOK, true
	case action == settings.ActionVersion:
		fmt.Fprintln(env.Stdout, Version())
		return exitOK, true
	case err != nil:
		fmt.Fprintln(env.Stderr, err)
		return exitSettings, true
	case action == settings.ActionCheck:
		fmt.Fprintln(env.Stdout, "settings: ok")
		return exitOK, true
	default:
		return exitOK, false
	}
}

// reportResult prints err, if there is one, and returns the exit code of the
// command.
func reportResult(err error, env Environment) int {
	if err != nil {
		fmt.Fprintln(env.Stderr, "dandelionrill:", err)
		return exitFailed
	}
	return exitOK
}
