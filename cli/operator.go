package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"dandelionrill.example/fleet/admin"
	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/settings"

	"github.com/cockroachdb/errors"
)

// drainPollInterval is the time between status requests to a draining process.
const drainPollInterval = 200 * time.Millisecond

// operatorCommand runs one operator command.
type operatorCommand func(ctx context.Context, o *settings.Operator, env Environment) error

var operatorCommands = map[settings.Command]operatorCommand{
	settings.CommandStatus:    showStatus,
	settings.CommandDrain:     drain,
	settings.CommandTimeline:  showTimeline,
	settings.CommandConfigGet: getConfig,
	settings.CommandConfigPut: putConfig,
}

func runOperatorCommand(ctx context.Context, command settings.Command, run operatorCommand, args []string, env Environment) int {
	o, err := settings.ParseOperator(command, args, env.Getenv)
	if code, done := handleAction(o.Action, settings.OperatorHelp(command), err, env); done {
		return code
	}
	return reportResult(run(ctx, o, env), env)
}

func showStatus(ctx context.Context, o *settings.Operator, env Environment) error {
	body, err := newAdminClient(o).call(ctx, http.MethodGet, o.Admin, admin.PathStatus, nil, nil)
	if err != nil {
		return err
	}
	if o.Format == settings.FormatJSON {
		_, err = env.Stdout.Write(body)
		return errors.Wrap(err, "write status")
	}
	var s admin.Status
	if err := json.Unmarshal(body, &s); err != nil {
		return errors.Wrap(err, "decode status")
	}
	return writeStatus(env.Stdout, s)
}

func writeStatus(w io.Writer, s admin.Status) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "process\t%s\t%s\nincarnation\t%s\nbuild\t%s\nstarted\t%s\n", s.Process, s.FailureDomain, s.Incarnation, s.Build, s.Started.Format(time.RFC3339))
	fmt.Fprintf(t, "ready\t%t\ndraining\t%t\t%d requests in progress\n", s.Ready, s.Drain.Draining, s.Drain.InProgress)
	c := s.Configuration
	fmt.Fprintf(t, "configuration\tversion %d\tfrom %s\tsince %s\n", c.Version, orNone(c.AdoptedFrom), c.AdoptedAt.Format(time.RFC3339))
	if u := s.Upstream; u != nil {
		fmt.Fprintf(t, "upstream\t%s\t%d in flight, %d queued, bound %d, ticket window %d\n", u.Service, u.InFlight, u.Queued, u.Bound, u.Window)
	}
	fmt.Fprintf(t, "\nHOST\tROLE\tSERVICE\tDOMAIN\tADDRESS\tSTATE\tSOURCE\tAGE\tVERSION\tIN FLIGHT\n")
	for _, m := range s.Members {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.1fs\t%d\t%d\n",
			m.Host, m.Role, orNone(m.Service), m.FailureDomain, m.Address, m.State, m.Source, m.AgeSeconds, m.ConfigVersion, m.InFlight)
	}
	return errors.Wrap(t.Flush(), "write status")
}

func orNone(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func drain(ctx context.Context, o *settings.Operator, env Environment) error {
	client := newAdminClient(o)
	body, err := client.call(ctx, http.MethodPost, o.Admin, admin.PathDrain, nil, nil)
	if err != nil {
		return err
	}
	var state admin.Drain
	if err := json.Unmarshal(body, &state); err != nil {
		return errors.Wrap(err, "decode drain state")
	}
	if o.Wait > 0 {
		if state, err = awaitDrain(ctx, client, o); err != nil {
			return err
		}
	}
	if o.Format == settings.FormatJSON {
		return errors.Wrap(json.NewEncoder(env.Stdout).Encode(state), "write drain state")
	}
	_, err = fmt.Fprintf(env.Stdout, "draining, %d requests in progress\n", state.InProgress)
	return errors.Wrap(err, "write drain state")
}

// awaitDrain waits until no request is in progress. A process that no longer
// answers is taken to have exited.
func awaitDrain(ctx context.Context, client *adminClient, o *settings.Operator) (admin.Drain, error) {
	ctx, cancel := context.WithTimeout(ctx, o.Wait)
	defer cancel()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		body, err := client.call(ctx, http.MethodGet, o.Admin, admin.PathStatus, nil, nil)
		switch {
		case errors.Is(err, errNoAnswer) && ctx.Err() == nil:
			return admin.Drain{Draining: true}, nil
		case err != nil:
			return admin.Drain{}, errors.Wrap(err, "wait for drain")
		}
		var s admin.Status
		if err := json.Unmarshal(body, &s); err != nil {
			return admin.Drain{}, errors.Wrap(err, "decode status")
		}
		if s.Drain.InProgress == 0 {
			return s.Drain, nil
		}
		select {
		case <-ctx.Done():
			return s.Drain, errors.Newf("%d requests still in progress after %s", s.Drain.InProgress, o.Wait)
		case <-ticker.C:
		}
	}
}

func getConfig(ctx context.Context, o *settings.Operator, env Environment) error {
	body, err := newAdminClient(o).call(ctx, http.MethodGet, o.Admin, admin.PathConfig, nil, nil)
	if err != nil {
		return err
	}
	if o.File != "-" {
		return errors.Wrap(os.WriteFile(o.File, body, 0o600), "write configuration")
	}
	_, err = env.Stdout.Write(body)
	return errors.Wrap(err, "write configuration")
}

func putConfig(ctx context.Context, o *settings.Operator, env Environment) error {
	body, err := readInput(o.File, env)
	if err != nil {
		return err
	}
	base := o.Base
	if base < 0 {
		var cfg config.Config
		if err := json.Unmarshal(body, &cfg); err != nil {
			return errors.Wrap(err, "decode configuration")
		}
		base = int64(cfg.Version)
	}
	header := http.Header{"Content-Type": {"application/json"}}
	if base == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", strconv.Quote(strconv.FormatInt(base, 10)))
	}
	answer, err := newAdminClient(o).call(ctx, http.MethodPut, o.Admin, admin.PathConfig, header, body)
	if err != nil {
		return err
	}
	_, err = env.Stdout.Write(answer)
	return errors.Wrap(err, "write answer")
}

func readInput(path string, env Environment) ([]byte, error) {
	if path == "-" {
		body, err := io.ReadAll(env.Stdin)
		return body, errors.Wrap(err, "read configuration from standard input")
	}
	body, err := os.ReadFile(path)
	return body, errors.Wrap(err, "read configuration")
}
