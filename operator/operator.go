// Package operator implements the operations of operators on the configuration:
// check a sheet, compare it with the version in force, apply it and wait until
// it is in force, show versions and the history, and restore an earlier version.
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

// Default values of Options.
const (
	DefaultWait         = time.Minute
	DefaultHistoryLimit = 20
)

// warnSizePercent is the percentage of store.MaxValueBytes from which on the size
// summary of a configuration contains a warning.
const warnSizePercent = 80

// Options are the parameters of the commands. Fields that a command does not use
// may be zero.
type Options struct {
	Store        *revision.Store
	Fleet        Fleet         // nil: RunApply and RunUndo do not wait
	Author       string        // recorded with each change
	Base         uint64        // version that the sheet is based on; if the sheet has a base too, the greater one counts; if both are 0, the current version
	Version      uint64        // version that RunShow shows or RunUndo restores; 0: the current one for RunShow, the one before it for RunUndo
	JSON         bool          // RunShow writes JSON instead of a sheet
	Limit        int           // number of versions that RunHistory lists; 0 means DefaultHistoryLimit
	Wait         time.Duration // maximum time to wait for the fleet; 0 means DefaultWait
	PollInterval time.Duration // time between two polls of the fleet; 0 means DefaultPollInterval
}

// RunCheck validates a sheet. It returns an error with all findings, or writes
// the number of rows and the encoded size of a valid sheet.
func RunCheck(_ context.Context, _ Options, in io.Reader, out io.Writer) error {
	s, err := sheet.Read(in)
	if err != nil {
		return err
	}
	size, err := sizeSummary(s.Config)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "ok: %d customers, %d services, %d rules; %s\n",
		len(s.Config.Customers), len(s.Config.Services), len(s.Config.Rules), size)
	return errors.Wrap(err, "check: write")
}

// sizeSummary describes the encoded size of cfg and the percentage of the
// platform's size limit that it uses.
func sizeSummary(cfg *config.Config) (string, error) {
	value, err := revision.Encode(cfg)
	if err != nil {
		return "", err
	}
	percent := 100 * len(value) / store.MaxValueBytes
	text := fmt.Sprintf("%d bytes, %d%% of the platform's size limit", len(value), percent)
	if percent >= warnSizePercent {
		text += "; warning: close to the size limit, see docs/SHEET.md on large sheets"
	}
	return text, nil
}

// RunDiff writes the changes that applying a sheet would make to the current
// version.
func RunDiff(ctx context.Context, opts Options, in io.Reader, out io.Writer) error {
	s, current, err := opts.readSheet(ctx, in)
	if err != nil {
		return err
	}
	return writeChanges(out, current.Version, config.Diff(current, s.Config))
}

// readSheet reads a sheet and returns it with the current version.
func (o Options) readSheet(ctx context.Context, in io.Reader) (*sheet.Sheet, *config.Config, error) {
	s, err := sheet.Read(in)
	if err != nil {
		return nil, nil, err
	}
	current, err := o.current(ctx)
	return s, current, err
}

// current returns the current version, or an empty configuration if none has
// been published yet.
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

// RunShow writes one version as a sheet or as JSON.
func RunShow(ctx context.Context, opts Options, out io.Writer) error {
	cfg, err := opts.versionToShow(ctx)
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

func (o Options) versionToShow(ctx context.Context) (*config.Config, error) {
	if o.Version != 0 {
		return o.Store.At(ctx, o.Version)
	}
	cfg, err := o.Store.Current(ctx)
	if cfg == nil && err == nil {
		return nil, errors.New("no configuration has been applied yet")
	}
	return cfg, err
}

// RunHistory lists the most recent versions, newest first.
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

// RunApply publishes a sheet as the next version and waits until the fleet has
// it in force. A sheet without changes is not published again. A sheet that is
// based on a version other than the current one is refused by the store with a
// *revision.ConflictError, and one whose base the platform has lost with a
// *revision.LostVersionError.
func RunApply(ctx context.Context, opts Options, in io.Reader, out io.Writer) error {
	s, current, err := opts.readSheet(ctx, in)
	if err != nil {
		return err
	}
	base := slices.Max([]uint64{opts.Base, s.Base})
	if base == 0 {
		base = current.Version
	}
	changes := config.Diff(current, s.Config)
	if base == current.Version && len(changes) == 0 && base != 0 {
		fmt.Fprintf(out, "no change: version %d has the same content\n", base)
		return opts.waitInForce(ctx, base, out)
	}
	if base == current.Version {
		if err := writeChanges(out, base, changes); err != nil {
			return err
		}
	}
	return opts.publish(ctx, s.Config, base, out)
}

// RunUndo publishes the content of an earlier version as the next version, and
// waits until the fleet has it in force.
func RunUndo(ctx context.Context, opts Options, out io.Writer) error {
	current, err := opts.current(ctx)
	if err != nil {
		return err
	}
	earlier, err := opts.versionToRestore(ctx)
	if err != nil {
		return err
	}
	if err := writeChanges(out, current.Version, config.Diff(current, earlier)); err != nil {
		return err
	}
	restored := *earlier
	return opts.publish(ctx, &restored, current.Version, out)
}

// versionToRestore returns the version that RunUndo restores: o.Version, or the
// second newest if that is 0.
func (o Options) versionToRestore(ctx context.Context) (*config.Config, error) {
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

// publish publishes cfg as the successor of version base and waits until the
// fleet has it in force.
func (o Options) publish(ctx context.Context, cfg *config.Config, base uint64, out io.Writer) error {
	cfg.Author = o.Author
	size, err := sizeSummary(cfg)
	if err != nil {
		return err
	}
	if err := o.checkNothingLost(ctx, base); err != nil {
		return err
	}
	version, err := o.Store.Publish(ctx, cfg, base)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "accepted as version %d (change %s), %s\n", version, cfg.ChangeID, size)
	return o.waitInForce(ctx, version, out)
}
