package cli

import (
	"context"
	"io"
	"os"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/link"
	"dandelionrill.example/fleet/operator"
	"dandelionrill.example/fleet/peers"
	"dandelionrill.example/fleet/platform"
	"dandelionrill.example/fleet/revision"
	"dandelionrill.example/fleet/settings"
	"dandelionrill.example/fleet/wire"

	"github.com/cockroachdb/errors"
)

// configCommand runs one command on the sheets (CSV files) and versions of the
// configuration.
type configCommand func(ctx context.Context, opts operator.Options, in io.Reader, out io.Writer) error

// withoutSheet adapts a command that does not read a sheet.
func withoutSheet(run func(context.Context, operator.Options, io.Writer) error) configCommand {
	return func(ctx context.Context, opts operator.Options, _ io.Reader, out io.Writer) error {
		return run(ctx, opts, out)
	}
}

var configCommands = map[settings.Command]configCommand{
	settings.CommandConfigCheck:   operator.RunCheck,
	settings.CommandConfigDiff:    operator.RunDiff,
	settings.CommandConfigApply:   operator.RunApply,
	settings.CommandConfigShow:    withoutSheet(operator.RunShow),
	settings.CommandConfigHistory: withoutSheet(operator.RunHistory),
	settings.CommandConfigUndo:    withoutSheet(operator.RunUndo),
}

// runConfigCommand parses the settings of a command on sheets and versions, runs
// it and returns the exit code.
func runConfigCommand(ctx context.Context, command settings.Command, run configCommand, args []string, env Environment) int {
	c, err := settings.ParseConfiguration(command, args, env.Getenv)
	if code, done := handleAction(c.Action, settings.ConfigurationHelp(command), err, env); done {
		return code
	}
	if c.Input == settings.InputPlatform {
		return checkConfigurations(ctx, c, env)
	}
	return reportResult(runConfig(ctx, c, run, env), env)
}

func runConfig(ctx context.Context, c *settings.Configuration, run configCommand, env Environment) error {
	opts, closeLinks, err := operatorOptions(c)
	if err != nil {
		return err
	}
	defer closeLinks()
	in, err := openSheet(c.File, env)
	if err != nil {
		return err
	}
	defer func() { _ = in.Close() }()
	return run(ctx, opts, in, env.Stdout)
}

// openSheet opens the file of a sheet. "-" means standard input; so does an empty
// name, which a command that reads no sheet has.
func openSheet(name string, env Environment) (io.ReadCloser, error) {
	if name == "" || name == "-" {
		return io.NopCloser(env.Stdin), nil
	}
	file, err := os.Open(name)
	return file, errors.Wrap(err, "open sheet")
}

// operatorOptions returns the options of a command, with a client of the platform
// if one is configured, and links to the processes of the fleet if the command
// waits for them. The returned function closes the links.
func operatorOptions(c *settings.Configuration) (operator.Options, func(), error) {
	opts := operator.Options{
		Author: c.Author, Base: uint64(c.Base), Version: uint64(c.Revision),
		JSON: c.Format == settings.FormatJSON, Limit: int(c.Limit), Wait: c.Wait,
	}
	if c.Platform == "" {
		return opts, func() {}, nil
	}
	api, err := platform.NewClient(platform.ClientOptions{BaseURL: c.Platform})
	if err != nil {
		return opts, nil, err
	}
	opts.Store = revision.New(revision.Options{Platform: api})
	if c.Wait <= 0 {
		return opts, func() {}, nil
	}
	pool := link.NewPool(link.ClientOptions{TLS: c.TLS})
	hosts := board.New()
	links := peers.NewLinks(hosts, pool, func() wire.Meta { return wire.Meta{} })
	opts.Fleet = operator.NewFleet(api, links, hosts.ObserveHostList)
	return opts, pool.Close, nil
}
