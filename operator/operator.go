// Package operator holds what operators do with the configuration: check a
// sheet, compare it, apply it and wait until it is in force, show versions and
// go back to one.
package operator

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/revision"
	"dandelionrill.example/fleet/sheet"
	"dandelionrill.example/fleet/store"
	"github.com/cockroachdb/errors"
)

// Defaults of Options.
const (
	DefaultWait         = time.Minute
	DefaultHistoryLimit = 20
)

// warnShare is the share of the platform's limit, in percent, from which Apply
// warns.
const warnShare = 80

// Options are what the commands work with. Unused fields may be zero.
type Options struct {
	Store        *revision.Store
	Fleet        Fleet         // nil: Apply and Undo do not wait
	Author       string        // recorded with each change
	Base         uint64        // version that the sheet was made from; 0: as the sheet says, else the current one
	Version      uint64        // of Show and Undo; 0: the current one, and the one before it
	JSON         bool          // Show writes JSON in place of a sheet
	Limit        int           // of History; 0 means DefaultHistoryLimit
	Wait         time.Duration // longest wait for the fleet; 0 means DefaultWait
	PollInterval time.Duration // between looks at the fleet; 0 means DefaultPollInterval
}

// RunCheck reports all findings on a sheet together, and the room that it
// takes in the platform.
func RunCheck(_ context.Context, _ Options, in io.Reader, out io.Writer) error {
	s, err := sheet.Read(in)
	if err != nil {
		return err
	}
	size, err := room(s.Config)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "ok: %d customers, %d services, %d rules; %s\n",
		len(s.Config.Customers), len(s.Config.Services), len(s.Config.Rules), size)
	return errors.Wrap(err, "check: write")
}

// room tells how much of the platform's limit cfg takes.
func room(cfg *config.Config) (string, error) {
	value, err := revision.Encode(cfg)
	if err != nil {
		return "", err
	}
	share := 100 * len(value) / store.MaxValueBytes
	text := fmt.Sprintf("%d bytes, %d%% of what the platform holds", len(value), share)
	if share >= warnShare {
		text += "; warning: little room is left, see docs/SHEET.md on large sheets"
	}
	return text, nil
}

// RunDiff writes what a sheet would change.
func RunDiff(ctx context.Context, opts Options, in io.Reader, out io.Writer) error {
	s, current, err := opts.read(ctx, in)
	if err != nil {
		return err
	}
	return writeChanges(out, current.Version, config.Diff(current, s.Config))
}

// read returns a sheet and the version in force.
func (o Options) read(ctx context.Context, in io.Reader) (*sheet.Sheet, *config.Config, error) {
	s, err := sheet.Read(in)
	if err != nil {
		return nil, nil, err
	}
	current, err := o.current(ctx)
	return s, current, err
}

// current returns the version in force, an empty configuration before the first.
func (o Options) current(ctx context.Context) (*config.Config, error) {
	cfg, err := o.Store.Current(ctx)
	if cfg == nil && err == nil {
		cfg = &config.Config{}
	}
	return cfg, err
}

func writeChanges(out io.Writer, version uint64, changes []config.Change) error {
	lines := []string{fmt.Sprintf("%d changes to version %d", len(changes), version)}
	for _, c := range changes {
		lines = append(lines, c.String())
	}
	_, err := fmt.Fprintln(out, strings.Join(lines, "\n"))
	return errors.Wrap(err, "write changes")
}

// RunShow writes one version, as a sheet or as JSON.
func RunShow(ctx context.Context, opts Options, out io.Writer) error {
	cfg, err := opts.version(ctx)
	if err != nil {
		return err
	}
	if !opts.JSON {
		return sheet.Write(out, cfg)
	}
	raw, err := config.CanonicalJSON(cfg)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, string(raw))
	return errors.Wrap(err, "show: write")
}

func (o Options) version(ctx context.Context) (*config.Config, error) {
	if o.Version != 0 {
		return o.Store.At(ctx, o.Version)
	}
	cfg, err := o.Store.Current(ctx)
	if cfg == nil && err == nil {
		return nil, errors.New("no configuration was applied yet")
	}
	return cfg, err
}

// RunHistory writes the newest versions, newest first.
func RunHistory(ctx context.Context, opts Options, out io.Writer) error {
	limit := opts.Limit
	if limit <= 0 {
		limit = DefaultHistoryLimit
	}
	entries, err := opts.Store.History(ctx, limit)
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "VERSION\tCHANGE\tAUTHOR")
	for _, e := range entries {
		fmt.Fprintf(t, "%d\t%s\t%s\n", e.Version, e.ChangeID, e.Author)
	}
	return errors.Wrap(t.Flush(), "history: write")
}

// RunApply makes a sheet the next version and waits until the fleet has it in
// force.
func RunApply(ctx context.Context, opts Options, in io.Reader, out io.Writer) error {
	s, current, err := opts.read(ctx, in)
	if err != nil {
		return err
	}
	base := slices.Max([]uint64{opts.Base, s.Base})
	if base == 0 {
		base = current.Version
	}
	changes := config.Diff(current, s.Config)
	if base == current.Version && len(changes) == 0 && base != 0 {
		fmt.Fprintf(out, "no change: version %d says the same\n", base)
		return opts.await(ctx, base, out)
	}
	if base == current.Version {
		if err := writeChanges(out, base, changes); err != nil {
			return err
		}
	}
	return opts.publish(ctx, s.Config, base, out)
}

// RunUndo makes the content of an earlier version the next version.
func RunUndo(ctx context.Context, opts Options, out io.Writer) error {
	current, err := opts.current(ctx)
	if err != nil {
		return err
	}
	earlier, err := opts.earlier(ctx)
	if err != nil {
		return err
	}
	if err := writeChanges(out, current.Version, config.Diff(current, earlier)); err != nil {
		return err
	}
	restored := *earlier
	return opts.publish(ctx, &restored, current.Version, out)
}

// earlier returns the version to go back to.
func (o Options) earlier(ctx context.Context) (*config.Config, error) {
	if o.Version != 0 {
		return o.Store.At(ctx, o.Version)
	}
	entries, err := o.Store.History(ctx, 2)
	if err != nil {
		return nil, err
	}
	if len(entries) < 2 {
		return nil, errors.New("undo: there is no earlier version")
	}
	return o.Store.At(ctx, entries[1].Version)
}

// publish makes cfg the version after base and waits for the fleet.
func (o Options) publish(ctx context.Context, cfg *config.Config, base uint64, out io.Writer) error {
	cfg.Author = o.Author
	size, err := room(cfg)
	if err != nil {
		return err
	}
	version, err := o.Store.Publish(ctx, cfg, base)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "accepted as version %d (change %s), %s\n", version, cfg.ChangeID, size)
	return o.await(ctx, version, out)
}
